package forward

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// bufferBytes is the size of the buffers for copying response bodies and for the
// connections to upstreams.
const bufferBytes = 32 << 10

// copyBuffers holds buffers for copyBody.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// hopByHopHeaders are the headers that apply to a single connection and must not
// be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// upstreamHeader returns the request headers for the upstream. The caller's API
// key is not forwarded.
func upstreamHeader(in http.Header) http.Header {
	out := in.Clone()
	if out == nil {
		out = http.Header{}
	}
	removeHopByHopHeaders(out)
	out.Del("Authorization")
	out.Del(HeaderOutcome)
	if _, ok := out["User-Agent"]; !ok {
		// A nil value keeps net/http from adding its default.
		out["User-Agent"] = nil
	}
	return out
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// relay sends the upstream's response to the caller, unless it is not the response
// to this attempt, states that the request was not run, or cannot be checked for
// truncation.
func (c *Client) relay(conns *connPool, a Attempt, resp *http.Response, w http.ResponseWriter) Report {
	report := Report{Result: retry.Completed, Draining: reportsDraining(resp)}
	if echo := resp.Header.Get(HeaderAttempt); echo != "" && echo != c.attemptName(a.ID) {
		conns.suspendReuse()
		report.Result = retry.Unknown
		report.Cause = ErrWrongAttempt
		return report
	}
	if reportsNotRun(resp) {
		report.Result = retry.Refused
		report.Cause = errors.New("the upstream did not run the request")
		return report
	}
	if !isFramed(resp, a.Method) {
		report.Result = retry.Unknown
		report.Cause = ErrUnframed
		return report
	}
	writeResponseHeader(w, resp)
	report.ResponseStarted = true
	if err := copyBody(w, resp.Body); err != nil {
		report.Result = retry.Unknown
		report.Cause = errors.Mark(err, ErrTruncated)
	}
	return report
}

// reportsDraining reports whether the response states that the upstream is
// draining: by HeaderDraining, or by status 503 and closing the connection.
func reportsDraining(resp *http.Response) bool {
	if resp.Header.Get(HeaderDraining) == "true" {
		return true
	}
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Close
}

// reportsNotRun reports whether the response states that the upstream did not run
// the request.
func reportsNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(HeaderOutcome) == vocab.OutcomeNotRun.String()
}

// isFramed reports whether a truncated response body can be detected: the response
// has a declared length, the chunked encoding, or no body.
func isFramed(resp *http.Response, method string) bool {
	if resp.ContentLength >= 0 || method == http.MethodHead {
		return true
	}
	return len(resp.TransferEncoding) > 0
}

// writeResponseHeader sends the status and headers of the response to the caller.
func writeResponseHeader(w http.ResponseWriter, resp *http.Response) {
	out := w.Header()
	removeHopByHopHeaders(resp.Header)
	for name, values := range resp.Header {
		out[name] = values
	}
	out.Del(HeaderAttempt)
	out.Del(HeaderDraining)
	out.Set(HeaderOutcome, vocab.OutcomeCompleted.String())
	w.WriteHeader(resp.StatusCode)
}

// copyBody streams a response body to the caller. It flushes whenever less than a
// full buffer was available, so that slow responses arrive without delay.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "writing the response to the caller")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading the response from the upstream")
		}
		if flusher != nil && n < len(*buffer) {
			flusher.Flush()
		}
	}
}
