package jobnode

import (
	"context"
	"sync"

	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A call waits for a connection after the reducer has decided on it, and the authority of the owner may end meanwhile. A
// call that depends on it has a send permit, which the adapter uses directly before it writes the request. A request that
// was refused by its permit, or whose call has ended before, is certainly not sent.

// SendPermit is the right to send the request of one call.
type SendPermit struct {
	mu sync.Mutex
	// expiresAt is the time from which the request must not be sent.
	expiresAt vocab.Instant
	// ended is set once the request must not be sent any more, used once it may have been sent.
	ended, used bool
	cancel      context.CancelFunc
}

type sendPermitKey struct{}

// WithPermit returns a context with a permit for the calls made with it. The permit expires at a time.
func WithPermit(ctx context.Context, expiresAt vocab.Instant) (context.Context, *SendPermit) {
	ctx, cancel := context.WithCancel(ctx)
	p := &SendPermit{expiresAt: expiresAt, cancel: cancel}
	return context.WithValue(ctx, sendPermitKey{}, p), p
}

// Withdraw ends the permit, and the call if its request has not been sent.
func (p *SendPermit) Withdraw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	if !p.used {
		p.cancel()
	}
}

// Release frees the resources of a permit once its call has ended.
func (p *SendPermit) Release() { p.cancel() }

// UsePermit reports whether a request may be sent whose call was made with the context. The sender calls it directly before
// it writes the request. Calls without a permit may always be sent.
func UsePermit(ctx context.Context) bool {
	p, found := ctx.Value(sendPermitKey{}).(*SendPermit)
	if !found {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || Now() >= p.expiresAt {
		return false
	}
	p.used = true
	return true
}

// EndPermit ends the permit of a call that has failed, and reports whether its request may have been sent. Without a permit
// it may.
func EndPermit(ctx context.Context) (mayBeSent bool) {
	p, found := ctx.Value(sendPermitKey{}).(*SendPermit)
	if !found {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	return p.used
}

// orderPermits are the permits of the orders to machines that are being made.
type orderPermits struct {
	mu sync.Mutex
	// withdrawn is the highest fence whose orders were withdrawn.
	withdrawn job.Fence
	open      map[*SendPermit]job.Fence
}

// grant returns a context with a permit for an order of the owner with a fence, and a function that ends the permit.
func (o *orderPermits) grant(ctx context.Context, fence job.Fence, expiresAt vocab.Instant) (context.Context, func()) {
	ctx, p := WithPermit(ctx, expiresAt)
	o.mu.Lock()
	defer o.mu.Unlock()
	if fence <= o.withdrawn && o.withdrawn != 0 {
		p.Withdraw()
		return ctx, p.Release
	}
	if o.open == nil {
		o.open = map[*SendPermit]job.Fence{}
	}
	o.open[p] = fence
	return ctx, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, p)
		p.Release()
	}
}

// withdraw ends the permits of the owners up to a fence.
func (o *orderPermits) withdraw(fence job.Fence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawn = max(o.withdrawn, fence)
	for p, f := range o.open {
		if f <= fence {
			p.Withdraw()
		}
	}
}
