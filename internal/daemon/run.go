package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/sardinehead/sardinehead/internal/bodylimit"
	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/drainlisten"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/settings"
	"github.com/sardinehead/sardinehead/internal/tlsfiles"
)

const (
	// readHeaderTimeout is the timeout for reading the header of a request.
	readHeaderTimeout = 10 * time.Second
	// leaveTimeout is the time for which a stopping node waits until the log has recorded
	// that it left the fleet.
	leaveTimeout = 3 * time.Second
	// bodyMemoryBytes is the size of the request bodies that a process receives at one time.
	bodyMemoryBytes = 32 << 20
	// bodyTimeout is the maximum time without progress of a body.
	bodyTimeout = 10 * time.Second
	// maxUnreadBodyBytes is the maximum size of a body on the operators' port, whose requests have none,
	// maxPeerBodyBytes that of a call from another node.
	maxUnreadBodyBytes = 4 << 10
	maxPeerBodyBytes   = 16 << 20
)

// Run runs an entry process until it receives an interrupt or SIGTERM. The first
// signal starts a graceful stop, a second one ends the process at once.
func Run(ctx context.Context, s settings.Settings, w io.Writer) error {
	self := core.Identity{
		Node:        s.Node,
		Incarnation: NewIncarnation(),
		Zone:        s.Zone,
		Region:      s.Region,
		PeerAddress: s.Peers.Address.String(),
	}
	for _, address := range s.FirstPeers {
		self.FirstPeers = append(self.FirstPeers, address.String())
	}
	auth, err := loadPeerAuth(s)
	if err != nil {
		return err
	}
	process := NewProcess(self, Platform{Log: string(s.Platform.Log), VMList: string(s.Platform.VMList)}, auth, w)
	defer process.Close()

	var group run.Group
	conns := drainlisten.NewConnLimits(0, 0)
	bodies := bodylimit.NewBudget(bodyMemoryBytes)
	// Requests to upstreams are streamed, and may be of any size.
	callerBodies := bodylimit.Limits{Budget: bodies, Timeout: bodyTimeout, Streams: true}
	callers, err := addServer(&group, s.Callers, callerBodies.Handler(process.Callers), conns.Callers)
	if err != nil {
		return err
	}
	operatorBodies := bodylimit.Limits{Budget: bodies, MaxBytes: maxUnreadBodyBytes, Timeout: bodyTimeout}
	if _, err := addServer(&group, s.Operators, operatorBodies.Handler(process.Operators), conns.Other); err != nil {
		return err
	}
	peerBodies := bodylimit.Limits{Budget: bodies, MaxBytes: maxPeerBodyBytes, Timeout: bodyTimeout}
	if _, err := addServer(&group, s.Peers, peerBodies.Handler(process.Peers), conns.Peers); err != nil {
		return err
	}
	addNode(ctx, &group, process.Node)
	addSignals(ctx, &group, process.Node, node.StopPlan{
		BalancerWait: s.Times.BalancerWait.D(),
		Drain:        callers.Shutdown,
		LeaveWait:    leaveTimeout,
	}, s.Times.StopTimeout.D())
	return group.Run()
}

// loadPeerAuth reads the shared secret and, unless peers use plain HTTP, the TLS files.
func loadPeerAuth(s settings.Settings) (PeerAuth, error) {
	secret, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return PeerAuth{}, errors.Wrap(err, "reading the peer secret")
	}
	auth := PeerAuth{Secret: bytes.TrimSpace(secret)}
	if s.Peers.Plain {
		return auth, nil
	}
	source, err := tlsfiles.Open(tlsfiles.Files(s.Peers.TLS))
	if err != nil {
		return PeerAuth{}, errors.Wrap(err, "peers")
	}
	auth.TLS = source.Client()
	return auth, nil
}

// addNode adds the node's event loop to the group.
func addNode(ctx context.Context, group *run.Group, n *node.Node) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return n.Run(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server for one listener, with up to maxConns connections, to the group.
func addServer(group *run.Group, l settings.Listener, handler http.Handler, maxConns int) (*drainlisten.Server, error) {
	listener, err := drainlisten.Listen(l.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", l.Address)
	}
	server := drainlisten.NewServer(&http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: bodylimit.MaxHeaderBytes,
	}, listener, maxConns)
	if !l.Plain {
		source, err := tlsfiles.Open(tlsfiles.Files(l.TLS))
		if err != nil {
			return nil, errors.Wrapf(err, "listener %s", l.Address)
		}
		server.TLSConfig = source.Server()
	}
	interrupted := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(!l.Plain)
		if errors.Is(err, http.ErrServerClosed) {
			// The group ends as soon as a member returns. A server that was shut
			// down gracefully must not end it.
			<-interrupted
			return nil
		}
		return errors.Wrapf(err, "serving %s", l.Address)
	}, func(error) {
		close(interrupted)
		_ = server.Close()
	})
	return server, nil
}

// addSignals adds a member to the group that stops the node gracefully at the first
// signal, and ends the group when the node has stopped, the timeout has passed or a
// second signal arrives.
func addSignals(ctx context.Context, group *run.Group, n *node.Node, plan node.StopPlan, timeout time.Duration) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		stopCtx, cancelStop := context.WithTimeout(ctx, timeout)
		defer cancelStop()
		go func() {
			select {
			case <-signals:
				cancelStop()
			case <-stopCtx.Done():
			}
		}()
		return n.Stop(stopCtx, plan)
	}, func(error) {
		signal.Stop(signals)
		cancel()
	})
}
