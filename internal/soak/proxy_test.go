package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy relays TCP connections from a process to a service and injects faults into
// them.
type proxy struct {
	target   string
	listener net.Listener
	// delayMS is the delay of each block of data, in milliseconds.
	delayMS atomic.Int64
	// dropRequests discards the data sent to the service, dropResponses the data that
	// the service sends. The connections stay open.
	dropRequests, dropResponses atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.track(from, true)
		p.track(to, true)
		go p.relay(from, to, &p.dropRequests)
		go p.relay(to, from, &p.dropResponses)
	}
}

// track adds an open connection to conns or removes a closed one.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// relay copies data in one direction until a side closes, and discards it while drop
// is set.
func (p *proxy) relay(from, to net.Conn, drop *atomic.Bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.track(from, false)
		p.track(to, false)
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !drop.Load() {
			time.Sleep(time.Duration(p.delayMS.Load()) * time.Millisecond)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				p.reset(to)
			}
			return
		}
	}
}

// resetAll closes every connection with a TCP reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.reset(c)
	}
}

// reset closes the connection with a TCP reset instead of a FIN.
func (p *proxy) reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// clearFaults makes the proxy relay all data without delay.
func (p *proxy) clearFaults() {
	p.delayMS.Store(0)
	// A connection with discarded data has a gap in its byte stream and can't be used
	// again.
	if p.dropRequests.Swap(false) || p.dropResponses.Swap(false) {
		p.resetAll()
	}
}
