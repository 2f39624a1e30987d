package services

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// callTimeout bounds one call beyond the time that the service was asked to wait.
const callTimeout = 3 * time.Second

// maxAnswerBytes bounds the body of one answer.
const maxAnswerBytes = 64 << 20

// caller makes HTTP calls with JSON bodies to one service.
type caller struct {
	base   string
	client *http.Client
}

func newCaller(base string) caller {
	dialer := &net.Dialer{
		Timeout:         2 * time.Second,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	return caller{base: base, client: &http.Client{Transport: transport}}
}

// call sends one request and decodes the answer into out. A call that fails in
// transit closes the idle connections, so that the next one dials anew.
func (c caller) call(ctx context.Context, method, path string, in, out any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.client.CloseIdleConnections()
		return errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrUnavailable)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s: reading the answer", method, path), ErrUnavailable)
	}
	return decodeAnswer(resp.StatusCode, body, out)
}

func (c caller) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "encoding a platform call"), ErrRejected)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "platform address"), ErrRejected)
	}
	// A body that cannot be obtained again keeps net/http from sending the
	// request a second time on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func decodeAnswer(status int, body []byte, out any) error {
	if status == http.StatusOK {
		if out == nil {
			return nil
		}
		err := json.Unmarshal(body, out)
		return errors.Mark(errors.Wrap(err, "decoding a platform answer"), ErrUnavailable)
	}
	var problem ErrorResponse
	_ = json.Unmarshal(body, &problem)
	if status == http.StatusGone {
		return &TrimmedError{Earliest: vocab.Offset(problem.Earliest)}
	}
	return errors.Wrapf(errorOfStatus(status), "status %d: %s", status, problem.Error)
}

func errorOfStatus(status int) error {
	switch {
	case status == http.StatusPreconditionFailed:
		return ErrStaleEpoch
	case status >= http.StatusInternalServerError:
		return ErrUnavailable
	default:
		return ErrRejected
	}
}
