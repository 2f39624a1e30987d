// Package drainlisten listens for connections and accepts the last ones before it closes.
//
// The kernel completes connections before a process accepts them. When a listening socket is
// closed, those that wait in its queue are reset, although their callers may have sent a request.
package drainlisten

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// quietTime is the time without a new connection after which the queue counts as empty.
	quietTime = 20 * time.Millisecond
	// maxDrainTime bounds the time for which connections are accepted after Close.
	maxDrainTime = 300 * time.Millisecond
)

// Listener is a TCP listener. Its Close returns at once; Accept returns the connections that are
// queued by then, and net.ErrClosed after them.
type Listener struct {
	*net.TCPListener
	// closesAt is the time, in nanoseconds since 1970, after which no connection is accepted; 0
	// until Close.
	closesAt atomic.Int64
}

// Listen listens on a TCP address.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.extend(); err != nil {
		return nil, err
	}
	conn, err := l.TCPListener.Accept()
	if err != nil && l.closesAt.Load() != 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.CombineErrors(net.ErrClosed, l.TCPListener.Close())
	}
	return conn, err
}

// extend lets the next Accept wait for quietTime once the listener is closing.
func (l *Listener) extend() error {
	closesAt := l.closesAt.Load()
	if closesAt == 0 {
		return nil
	}
	until := time.Now().Add(quietTime)
	if last := time.Unix(0, closesAt); until.After(last) {
		until = last
	}
	return l.SetDeadline(until)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	if !l.closesAt.CompareAndSwap(0, time.Now().Add(maxDrainTime).UnixNano()) {
		return nil
	}
	return l.extend()
}
