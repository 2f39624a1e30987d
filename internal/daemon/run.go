package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/settings"
	"github.com/sardinehead/sardinehead/internal/tlsfiles"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// leaveWait bounds the wait for the log at a stop.
	leaveWait = 3 * time.Second
)

// Run runs an entry process until it is told to stop. The first signal begins
// a graceful stop, the second one ends the process at once.
func Run(ctx context.Context, s settings.Settings, w io.Writer) error {
	self := core.Identity{
		Node:        s.Node,
		Incarnation: NewIncarnation(),
		Zone:        s.Zone,
		Region:      s.Region,
		PeerAddress: s.Peers.Address.String(),
	}
	process := NewProcess(self, Platform{Log: string(s.Platform.Log), VMList: string(s.Platform.VMList)}, w)
	defer process.Forward.Close()

	var group run.Group
	callers, err := addServer(&group, s.Callers, process.Callers)
	if err != nil {
		return err
	}
	if _, err := addServer(&group, s.Operators, process.Operators); err != nil {
		return err
	}
	addLoop(ctx, &group, process.Node)
	addSignals(ctx, &group, process.Node, node.StopPlan{
		BalancerWait: s.Times.Balancer.D(),
		Drain:        callers.Shutdown,
		LeaveWait:    leaveWait,
	}, s.Times.Stop.D())
	return group.Run()
}

// addLoop runs the node's loop as a member of the group.
func addLoop(ctx context.Context, group *run.Group, n *node.Node) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return n.Run(ctx) }, func(error) { cancel() })
}

// addServer serves one side as a member of the group.
func addServer(group *run.Group, l settings.Listener, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", l.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", l.Address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	serve := func() error { return server.Serve(listener) }
	if !l.Plain {
		source, err := tlsfiles.Open(tlsfiles.Files(l.TLS))
		if err != nil {
			return nil, errors.Wrapf(err, "side %s", l.Address)
		}
		server.TLSConfig = source.Server()
		serve = func() error { return server.ServeTLS(listener, "", "") }
	}
	ended := make(chan struct{})
	group.Add(func() error {
		err := serve()
		if errors.Is(err, http.ErrServerClosed) {
			// A server that was shut down on purpose must not end the group.
			<-ended
			return nil
		}
		return errors.Wrapf(err, "serving %s", l.Address)
	}, func(error) {
		close(ended)
		_ = server.Close()
	})
	return server, nil
}

// addSignals stops the node at the first signal and ends the group after that.
func addSignals(ctx context.Context, group *run.Group, n *node.Node, plan node.StopPlan, limit time.Duration) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		stopping, release := context.WithTimeout(ctx, limit)
		defer release()
		go func() {
			select {
			case <-signals:
				release()
			case <-stopping.Done():
			}
		}()
		return n.Stop(stopping, plan)
	}, func(error) {
		signal.Stop(signals)
		cancel()
	})
}
