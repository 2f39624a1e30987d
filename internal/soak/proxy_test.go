package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy carries connections between one process and one service, and harms
// them on demand.
type proxy struct {
	target   string
	listener net.Listener
	// delay is added to each piece, in milliseconds.
	delay atomic.Int64
	// mute drops what goes towards the service, deaf what comes back; neither
	// closes the connection.
	mute, deaf atomic.Bool
	mu         sync.Mutex
	conns      map[net.Conn]bool
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
		p.keep(from, true)
		p.keep(to, true)
		go p.carry(from, to, &p.mute)
		go p.carry(to, from, &p.deaf)
	}
}

func (p *proxy) keep(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) carry(from, to net.Conn, dropped *atomic.Bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.keep(from, false)
		p.keep(to, false)
	}()
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 && !dropped.Load() {
			time.Sleep(time.Duration(p.delay.Load()) * time.Millisecond)
			if _, err := to.Write(piece[:n]); err != nil {
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

// reset closes all connections with a reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.reset(c)
	}
}

func (p *proxy) reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) heal() {
	p.delay.Store(0)
	// What was dropped is gone: a stream cannot go on after a gap.
	if p.mute.Swap(false) || p.deaf.Swap(false) {
		p.resetAll()
	}
}
