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

// callTimeout is the timeout of a call, in addition to the time for which the
// service may hold the call to wait for changes.
const callTimeout = 3 * time.Second

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// apiClient calls a service over HTTP with JSON bodies.
type apiClient struct {
	baseURL string
	client  *http.Client
}

func newAPIClient(baseURL string) apiClient {
	dialer := &net.Dialer{
		Timeout:         2 * time.Second,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	return apiClient{baseURL: baseURL, client: &http.Client{Transport: transport}}
}

// call sends a request and decodes the response into out. If a call fails in
// transit, it closes the idle connections, so that the next call opens a new one.
func (c apiClient) call(ctx context.Context, method, path string, in, out any, wait time.Duration) error {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s: reading the response", method, path), ErrUnavailable)
	}
	return decodeResponse(resp.StatusCode, body, out)
}

func (c apiClient) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "encoding a platform request"), ErrRejected)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "building a platform request"), ErrRejected)
	}
	// Without GetBody, net/http cannot resend the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func decodeResponse(status int, body []byte, out any) error {
	if status == http.StatusOK {
		if out == nil {
			return nil
		}
		err := json.Unmarshal(body, out)
		return errors.Mark(errors.Wrap(err, "decoding a platform response"), ErrUnavailable)
	}
	var response ErrorResponse
	_ = json.Unmarshal(body, &response)
	if status == http.StatusGone {
		return &TrimmedError{Earliest: vocab.Offset(response.Earliest)}
	}
	return errors.Wrapf(errorForStatus(status), "status %d: %s", status, response.Error)
}

func errorForStatus(status int) error {
	switch {
	case status == http.StatusPreconditionFailed:
		return ErrStaleEpoch
	case status >= http.StatusInternalServerError:
		return ErrUnavailable
	default:
		return ErrRejected
	}
}
