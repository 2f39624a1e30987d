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

// packetBytes is the IPv4 and TCP headers of one exchange in one direction: a
// packet of data and an acknowledgement, with time stamps. More packets are
// needed for more than 1,400 bytes; they add under 4%.
const packetBytes = 2 * 52

// Exchange is what one HTTP exchange costs beyond its bodies.
type Exchange struct {
	// Request and Response are the bytes on the connection without a body,
	// IP and TCP headers included.
	Request, Response float64
	// CPU is the processor time of client and server together, in µs.
	CPU float64
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	count *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, count: l}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.out.Add(int64(n))
	return n, err
}

// serve serves a handler on loopback until the returned function is called.
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

// measure makes calls of known bodies and returns what an exchange costs
// beyond them.
func (l *countingListener) measure(requestBody, responseBody float64, call func() error) (Exchange, error) {
	const calls = 200
	if err := call(); err != nil {
		return Exchange{}, err
	}
	in, out := l.in.Load(), l.out.Load()
	for range calls {
		if err := call(); err != nil {
			return Exchange{}, err
		}
	}
	e := Exchange{
		Request:  float64(l.in.Load()-in)/calls - requestBody + packetBytes,
		Response: float64(l.out.Load()-out)/calls - responseBody + packetBytes,
	}
	e.CPU = micros(costOf(func() { _ = call() }))
	return e, nil
}

// platformExchange measures an empty read of a stream.
func platformExchange() (Exchange, error) {
	l, stop, err := serve(standin.PlatformHandler(standin.NewLog(), standin.NewVMs(nil)))
	if err != nil {
		return Exchange{}, err
	}
	defer stop()
	client := services.NewLogClient("http://" + l.Addr().String())
	// An empty batch is part of what each exchange costs.
	return l.measure(0, 0, func() error {
		_, err := client.Read(context.Background(), "fleet", 1, 0)
		return err
	})
}

// appendCost returns the processor time of appends of several sizes, for
// client, server and encoding together.
func appendCost() (Slope, error) {
	s := Slope{Name: "append-cpu", Title: "one append, client and stand-in together", Axis: "records", Unit: "µs", Timed: true, Design: recordsPerAppend}
	l, stop, err := serve(standin.PlatformHandler(standin.NewLog(), standin.NewVMs(nil)))
	if err != nil {
		return s, err
	}
	defer stop()
	client := services.NewLogClient("http://" + l.Addr().String())
	for _, n := range []int{1, 10, 50, 100, 200} {
		var envelopes []record.Envelope
		for _, r := range firstTasks(n) {
			envelopes = append(envelopes, r.Envelope)
		}
		stream := 0
		s.add(n, micros(costOf(func() {
			stream++
			_, _ = client.Append(context.Background(), vocab.StreamID(strings.Repeat("s", 1+stream%8)), envelopes)
		})))
	}
	return s, nil
}

// peerBackend answers gossip with gossip.
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

// peerExchange measures an empty answer to an empty ask.
func peerExchange() (Exchange, error) {
	secret := []byte("measured on loopback")
	l, stop, err := serve(peer.Handler(peerBackend{gossip.New(1)}, secret))
	if err != nil {
		return Exchange{}, err
	}
	defer stop()
	client := peer.NewClient(secret, nil)
	defer client.Close()
	return l.measure(0, 0, func() error {
		_, err := client.Borrow(context.Background(), l.Addr().String(), limit.LoanRequest{})
		return err
	})
}

// exchangeCost returns the processor time of an exchange of gossip, on both
// sides, with HTTP.
func exchangeCost() (Slope, error) {
	s := Slope{Name: "exchange-cpu", Title: "one exchange of gossip over HTTP, both sides", Axis: "nodes", Unit: "µs", Timed: true, Design: designNodes}
	secret := []byte("measured on loopback")
	for _, n := range nodeSizes {
		l, stop, err := serve(peer.Handler(peerBackend{heardState(n)}, secret))
		if err != nil {
			return s, err
		}
		client := peer.NewClient(secret, nil)
		caller := heardState(n)
		s.add(n, micros(costOf(func() {
			answer, _ := client.Exchange(context.Background(), l.Addr().String(), caller.Compose(1))
			caller.Merge(1, answer)
		})))
		client.Close()
		stop()
	}
	return s, nil
}
