// Package forward sends requests to upstreams over HTTP/1.1 and relays the
// responses to callers. It reports what is known about the effect of each attempt,
// and never retries a request itself.
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
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 1 * time.Second
	// idleTimeout is the time for which an unused connection is kept open.
	idleTimeout = 15 * time.Second
	// keepAliveIdle is the time for which a connection is idle before TCP keep-alive
	// probes are sent.
	keepAliveIdle = 1 * time.Second
	// keepAliveInterval is the time between two keep-alive probes.
	keepAliveInterval = 1 * time.Second
	// keepAliveProbes is the number of unanswered probes that closes a connection.
	keepAliveProbes = 2
	// reuseSuspension is the time for which no connection to a VM is reused after one
	// failed.
	reuseSuspension = 10 * time.Second
	// userTimeout is TCP_USER_TIMEOUT: the time after which a connection whose sent
	// bytes are not acknowledged is closed.
	userTimeout = 3 * time.Second
)

// connPool keeps the connections to one VM.
type connPool struct {
	address string
	maxIdle int
	// reused keeps idle connections for further requests.
	reused *http.Transport
	// singleUse opens a new connection for each request.
	singleUse *http.Transport
	// noReuseUntilNanos is the time until which no connection is reused, in
	// nanoseconds since the Unix epoch.
	noReuseUntilNanos atomic.Int64
}

// connPools holds one connPool for each VM.
type connPools struct {
	mu   sync.Mutex
	byVM map[vocab.VMID]*connPool
}

// get returns the connection pool of a VM. It creates a new one if the VM's
// address or its maximum number of idle connections has changed.
func (p *connPools) get(vm vocab.VMID, address string, maxIdle int) *connPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byVM[vm]
	if ok && found.address == address && found.maxIdle == maxIdle {
		return found
	}
	if ok {
		found.closeIdle()
	}
	created := newConnPool(address, maxIdle)
	p.byVM[vm] = created
	return created
}

func newConnPool(address string, maxIdle int) *connPool {
	return &connPool{
		address:   address,
		maxIdle:   maxIdle,
		reused:    newTransport(maxIdle),
		singleUse: newTransport(0),
	}
}

// closeIdle closes the idle connections.
func (p *connPool) closeIdle() {
	p.reused.CloseIdleConnections()
}

// suspendReuse closes the idle connections and prevents reuse for a while, because
// the cause of one connection's failure may affect all on the same network path.
func (p *connPool) suspendReuse() {
	p.noReuseUntilNanos.Store(time.Now().Add(reuseSuspension).UnixNano())
	p.closeIdle()
}

// transportFor returns the transport for an attempt. Reuse allows the use of a
// connection that has served another request.
func (p *connPool) transportFor(reuse bool) *http.Transport {
	if reuse && time.Now().UnixNano() >= p.noReuseUntilNanos.Load() {
		return p.reused
	}
	return p.singleUse
}

// newTransport returns a transport that keeps at most maxIdle idle connections;
// with 0 it opens a new connection for each request.
func newTransport(maxIdle int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdle,
		DisableKeepAlives:   maxIdle == 0,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     bufferBytes,
		ReadBufferSize:      bufferBytes,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
