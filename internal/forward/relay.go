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

// copyBytes is the size of the buffer that an answer passes through.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// hopHeaders are the headers that hold for one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// upstreamHeader returns the headers that go to the upstream. The caller's key
// stays here.
func upstreamHeader(in http.Header) http.Header {
	out := in.Clone()
	if out == nil {
		out = http.Header{}
	}
	dropHopHeaders(out)
	out.Del("Authorization")
	out.Del(HeaderOutcome)
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}

func dropHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// relay passes an answer on to the caller.
func (c *Client) relay(conns *pool, a Attempt, resp *http.Response, w http.ResponseWriter) Report {
	report := Report{Result: retry.Completed, Draining: draining(resp)}
	if echo := resp.Header.Get(HeaderAttempt); echo != "" && echo != c.attemptName(a.ID) {
		conns.distrust()
		report.Result = retry.Unknown
		report.Cause = ErrMisplaced
		return report
	}
	if attestedNotRun(resp) {
		report.Result = retry.Refused
		report.Cause = errors.New("the upstream did not run the request")
		return report
	}
	if !framed(resp, a.Method) {
		report.Result = retry.Unknown
		report.Cause = ErrUnframed
		return report
	}
	writeHeader(w, resp)
	report.Answering = true
	if err := copyBody(w, resp.Body); err != nil {
		report.Result = retry.Unknown
		report.Cause = errors.Mark(err, ErrCut)
	}
	return report
}

func draining(resp *http.Response) bool {
	if resp.Header.Get(HeaderDraining) == "true" {
		return true
	}
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Close
}

func attestedNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(HeaderOutcome) == vocab.OutcomeNotRun.String()
}

// framed reports whether the end of the answer can be told from a cut.
func framed(resp *http.Response, method string) bool {
	if resp.ContentLength >= 0 || method == http.MethodHead {
		return true
	}
	return len(resp.TransferEncoding) > 0
}

func writeHeader(w http.ResponseWriter, resp *http.Response) {
	out := w.Header()
	dropHopHeaders(resp.Header)
	for name, values := range resp.Header {
		out[name] = values
	}
	out.Del(HeaderAttempt)
	out.Del(HeaderDraining)
	out.Set(HeaderOutcome, vocab.OutcomeCompleted.String())
	w.WriteHeader(resp.StatusCode)
}

// copyBody streams a body and flushes whatever has arrived, so that slow
// answers reach the caller as they come.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return errors.Wrap(werr, "writing to the caller")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading from the upstream")
		}
		if flusher != nil && n < len(*buffer) {
			flusher.Flush()
		}
	}
}
