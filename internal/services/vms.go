package services

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// VMClient reads the VM list and sends orders for VMs over HTTP. It implements
// VMList and Pools.
type VMClient struct {
	api apiClient
}

// NewVMClient returns a client of the service at a base URL.
func NewVMClient(baseURL string) *VMClient {
	return &VMClient{api: newAPIClient(baseURL)}
}

// List implements VMList.
func (c *VMClient) List(ctx context.Context, since uint64, wait time.Duration) (VMListing, error) {
	query := url.Values{}
	query.Set("since", strconv.FormatUint(since, 10))
	query.Set("wait", wait.String())
	var listing VMListing
	err := c.api.call(ctx, http.MethodGet, PathVMs+"?"+query.Encode(), nil, &listing, wait)
	return listing, err
}

// Drain implements Pools.
func (c *VMClient) Drain(ctx context.Context, order VMOrder) error {
	return c.postOrder(ctx, order, "drain", "")
}

// Reboot implements Pools.
func (c *VMClient) Reboot(ctx context.Context, order VMOrder) error {
	return c.postOrder(ctx, order, "reboot", "")
}

// Assign implements Pools.
func (c *VMClient) Assign(ctx context.Context, order VMOrder, pool vocab.PoolID) error {
	return c.postOrder(ctx, order, "assign", pool)
}

func (c *VMClient) postOrder(ctx context.Context, order VMOrder, verb string, pool vocab.PoolID) error {
	in := OrderRequest{
		Incarnation: uint64(order.Incarnation),
		Epoch:       uint64(order.Epoch),
		Pool:        string(pool),
	}
	path := PathVMs + "/" + url.PathEscape(string(order.VM)) + "/" + verb
	return c.api.call(ctx, http.MethodPost, path, in, nil, 0)
}
