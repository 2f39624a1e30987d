package services

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// PathWorkers is the path of the list of workers. With "/NAME/order" appended it
// accepts orders, and with "/NAME/usage" it returns the reports of a worker.
const PathWorkers = "/v1/workers"

// WorkersClient calls the workers service over HTTP. It implements Workers.
type WorkersClient struct {
	api apiClient
}

// NewWorkersClient returns a client of the service at a base URL.
func NewWorkersClient(baseURL string) *WorkersClient {
	return &WorkersClient{api: newAPIClient(baseURL)}
}

// List implements Workers.
func (c *WorkersClient) List(ctx context.Context, since uint64, wait time.Duration) (WorkerListing, error) {
	query := url.Values{}
	query.Set("since", strconv.FormatUint(since, 10))
	query.Set("wait", wait.String())
	var listing WorkerListing
	err := c.api.call(ctx, http.MethodGet, PathWorkers+"?"+query.Encode(), nil, &listing, wait)
	return listing, err
}

// Order implements Workers.
func (c *WorkersClient) Order(ctx context.Context, order worker.Order) (worker.Answer, error) {
	var answer worker.Answer
	err := c.api.call(ctx, http.MethodPost, workerPath(order.Worker, "order"), order, &answer, 0)
	return answer, err
}

// Usage implements Workers.
func (c *WorkersClient) Usage(ctx context.Context, name vocab.VMID, after uint64, wait time.Duration) (worker.Usage, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", wait.String())
	var usage worker.Usage
	err := c.api.call(ctx, http.MethodGet, workerPath(name, "usage")+"?"+query.Encode(), nil, &usage, wait)
	return usage, err
}

func workerPath(name vocab.VMID, verb string) string {
	return PathWorkers + "/" + url.PathEscape(string(name)) + "/" + verb
}

// OrderAnswer converts the results of Workers.Order to an answer. Its code is
// worker.NotSent for an order without effect and worker.NoAnswer if the effect is
// unknown.
func OrderAnswer(answer worker.Answer, err error) worker.Answer {
	switch {
	case err == nil:
		return answer
	case errors.Is(err, ErrRejected):
		return worker.Answer{Code: worker.NotSent}
	default:
		return worker.Answer{Code: worker.NoAnswer}
	}
}
