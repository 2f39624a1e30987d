package slopes

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/peer"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/standin"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// packetHeaderBytes is the size of the IPv4 and TCP headers of one exchange in one
// direction: those of a data packet and an acknowledgement, with TCP timestamps. The
// further packets of bodies over 1,400 bytes are neglected; they add less than 4%.
const packetHeaderBytes = 2 * 52

// Exchange is the cost of one HTTP exchange, excluding its bodies.
type Exchange struct {
	// RequestBytes and ResponseBytes are the bytes on the connection, including IP and
	// TCP headers and excluding the body.
	RequestBytes, ResponseBytes float64
	// CPUMicros is the processor time of client and server together.
	CPUMicros float64
}

// countingListener counts the bytes that are received and sent on all connections
// that it accepts.
type countingListener struct {
	net.Listener
	received, sent atomic.Int64
}

// countingConn adds its bytes to the counts of its listener.
type countingConn struct {
	net.Conn
	listener *countingListener
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, listener: l}, nil
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.sent.Add(int64(n))
	return n, err
}

// serve serves a handler on a loopback port until the returned function is called.
func serve(h http.Handler) (*countingListener, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "listening on loopback")
	}
	counting := &countingListener{Listener: l}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(counting) }()
	return counting, func() { _ = server.Close() }, nil
}

// measureExchange repeats a call and returns the cost of one exchange, excluding
// bodies of the given sizes.
func (l *countingListener) measureExchange(requestBody, responseBody float64, call func() error) (Exchange, error) {
	const calls = 200
	if err := call(); err != nil {
		return Exchange{}, err
	}
	received, sent := l.received.Load(), l.sent.Load()
	for range calls {
		if err := call(); err != nil {
			return Exchange{}, err
		}
	}
	e := Exchange{
		RequestBytes:  float64(l.received.Load()-received)/calls - requestBody + packetHeaderBytes,
		ResponseBytes: float64(l.sent.Load()-sent)/calls - responseBody + packetHeaderBytes,
	}
	e.CPUMicros = toMicroseconds(cpuTimePerCall(func() { _ = call() }))
	return e, nil
}

// platformExchange measures a read of a stream that returns no records.
func platformExchange() (Exchange, error) {
	l, stop, err := serve(standin.PlatformHandler(standin.NewLog(), standin.NewVMs(nil)))
	if err != nil {
		return Exchange{}, err
	}
	defer stop()
	client := services.NewLogClient("http://" + l.Addr().String())
	// The encoding of an empty batch counts as part of the exchange.
	return l.measureExchange(0, 0, func() error {
		_, err := client.Read(context.Background(), "fleet", 1, 0)
		return err
	})
}

// appendCost returns the slope of the processor time of appends, for client, server
// and encoding together.
func appendCost() (Slope, error) {
	s := Slope{Name: "append-cpu", Title: "one append, client and stand-in together", Axis: "records", Unit: "µs", MachineDependent: true, DesignSize: taskRecordsPerAppend}
	l, stop, err := serve(standin.PlatformHandler(standin.NewLog(), standin.NewVMs(nil)))
	if err != nil {
		return s, err
	}
	defer stop()
	client := services.NewLogClient("http://" + l.Addr().String())
	for _, n := range []int{1, 10, 50, 100, 200} {
		var envelopes []record.Envelope
		for _, r := range acceptedTasks(n) {
			envelopes = append(envelopes, r.Envelope)
		}
		stream := 0
		s.add(n, toMicroseconds(cpuTimePerCall(func() {
			stream++
			_, _ = client.Append(context.Background(), vocab.StreamID(strings.Repeat("s", 1+stream%8)), envelopes)
		})))
	}
	return s, nil
}

// peerBackend is a peer.Backend that responds to gossip with a message of its own
// state, and to all other calls with empty messages.
type peerBackend struct{ state *gossip.State }

// Exchange implements peer.Backend.
func (b peerBackend) Exchange(_ context.Context, m gossip.Message) (gossip.Message, error) {
	b.state.Merge(1, m)
	return b.state.Compose(1), nil
}

// Borrow implements peer.Backend.
func (peerBackend) Borrow(context.Context, limit.LoanRequest) (limit.LoanReply, error) {
	return limit.LoanReply{}, nil
}

// GiveBack implements peer.Backend.
func (peerBackend) GiveBack(context.Context, limit.LoanReturn) error { return nil }

// Snapshot implements peer.Backend.
func (peerBackend) Snapshot(context.Context, vocab.Offset) (shared.Snapshot, bool, error) {
	return shared.Snapshot{}, false, nil
}

// peerExchange measures an empty loan request with an empty reply.
func peerExchange() (Exchange, error) {
	secret := []byte("measured on loopback")
	l, stop, err := serve(peer.Handler(peerBackend{gossip.New(1)}, secret))
	if err != nil {
		return Exchange{}, err
	}
	defer stop()
	client := peer.NewClient(secret, nil)
	defer client.Close()
	return l.measureExchange(0, 0, func() error {
		_, err := client.Borrow(context.Background(), l.Addr().String(), limit.LoanRequest{})
		return err
	})
}

// gossipExchangeCost returns the slope of the processor time of a gossip exchange
// over HTTP, for both sides together.
func gossipExchangeCost() (Slope, error) {
	s := Slope{Name: "exchange-cpu", Title: "one exchange of gossip over HTTP, both sides", Axis: "nodes", Unit: "µs", MachineDependent: true, DesignSize: designNodes}
	secret := []byte("measured on loopback")
	for _, n := range nodeCounts {
		l, stop, err := serve(peer.Handler(peerBackend{mergedGossipState(n)}, secret))
		if err != nil {
			return s, err
		}
		client := peer.NewClient(secret, nil)
		caller := mergedGossipState(n)
		s.add(n, toMicroseconds(cpuTimePerCall(func() {
			reply, _ := client.Exchange(context.Background(), l.Addr().String(), caller.Compose(1))
			caller.Merge(1, reply)
		})))
		client.Close()
		stop()
	}
	return s, nil
}
