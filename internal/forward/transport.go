// Package forward sends attempts to upstreams over HTTP/1.1 and relays their
// answers. It reports what is certain about each attempt's effect, and never
// sends a request again on its own.
package forward

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 1 * time.Second
	// idleTimeout is how long a pooled connection is kept without use.
	idleTimeout = 15 * time.Second
	// probeIdle is how long a connection is quiet before it is probed.
	probeIdle = 1 * time.Second
	// probeInterval is the time between two probes.
	probeInterval = 1 * time.Second
	// probeCount is the number of lost probes that ends a connection.
	probeCount = 2
	// distrustTime is how long no connection is reused after one failed.
	distrustTime = 10 * time.Second
	// unackedTimeout ends a connection whose data stays unacknowledged.
	unackedTimeout = 3 * time.Second
)

// pool holds the connections to one VM.
type pool struct {
	address string
	idle    int
	// kept reuses connections.
	kept *http.Transport
	// fresh opens a connection for each request.
	fresh *http.Transport
	// distrusted is the time, in nanoseconds since the epoch, until which no
	// connection is reused.
	distrusted atomic.Int64
}

// pools holds one pool for each VM.
type pools struct {
	mu   sync.Mutex
	byVM map[vocab.VMID]*pool
}

// get returns the pool of a VM. A VM that came back under another address, or
// that may keep another number of idle connections, gets a new pool.
func (p *pools) get(vm vocab.VMID, address string, idle int) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byVM[vm]
	if ok && found.address == address && found.idle == idle {
		return found
	}
	if ok {
		found.closeIdle()
	}
	created := newPool(address, idle)
	p.byVM[vm] = created
	return created
}

func newPool(address string, idle int) *pool {
	return &pool{
		address: address,
		idle:    idle,
		kept:    newTransport(idle),
		fresh:   newTransport(0),
	}
}

// closeIdle closes all connections that carry no request.
func (p *pool) closeIdle() {
	p.kept.CloseIdleConnections()
}

// distrust closes the pooled connections and reuses none for a while: what
// went wrong with one may hold for all that took the same path.
func (p *pool) distrust() {
	p.distrusted.Store(time.Now().Add(distrustTime).UnixNano())
	p.closeIdle()
}

// transport returns what carries an attempt. Reuse allows a connection that
// served another request before.
func (p *pool) transport(reuse bool) *http.Transport {
	if reuse && time.Now().UnixNano() >= p.distrusted.Load() {
		return p.kept
	}
	return p.fresh
}

// newTransport returns a transport that keeps so many idle connections; with
// none it opens a connection for each request.
func newTransport(idle int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idle,
		DisableKeepAlives:   idle == 0,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     copyBytes,
		ReadBufferSize:      copyBytes,
	}
}

// setUnackedTimeout makes the kernel end a connection whose data the other end
// does not acknowledge.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
