package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"
	"github.com/oklog/run"

	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/daemon"
	"github.com/sardinehead/sardinehead/internal/eventlog"
	"github.com/sardinehead/sardinehead/internal/jobnode"
	"github.com/sardinehead/sardinehead/internal/jobpeer"
	"github.com/sardinehead/sardinehead/internal/settings"
	"github.com/sardinehead/sardinehead/platform"
)

// Serve runs jobs on a deployment's own platform.
type Serve struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of this process"`
	Check    bool   `long:"check" description:"check the settings and end"`
}

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 3 * time.Second
	// stopMargin is what is left of the grace at the end of a planned stop.
	stopMargin = 1500 * time.Millisecond
	// memoryPart is the part of the memory limit that the heap may use.
	memoryPart = 0.6
)

// Execute implements flags.Commander.
func (s *Serve) Execute([]string) error {
	set, err := settings.LoadServe(s.Settings)
	if err != nil {
		return err
	}
	if s.Check {
		fmt.Println("the settings are usable")
		return nil
	}
	return serve(context.Background(), s.Settings, set)
}

func serve(ctx context.Context, settingsPath string, set settings.Serve) error {
	if set.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryMiB<<20) * memoryPart))
	}
	log := eventlog.NewJobs(os.Stdout, string(set.Node))
	client := platform.New(platform.Addresses{
		Store: hostOf(set.Store), Machines: hostOf(set.Machines), Advisor: hostOf(set.Advisor),
	}, log)
	ports := client.Ports()
	ports.Peers = jobpeer.NewClient()
	node := jobnode.New(job.Identity{
		Node: set.Node, Incarnation: daemon.NewIncarnation(), Zone: set.Zone, CPUShare: float64(set.CPUShare),
		PeerAddress: addressOf(set.Peers),
	}, job.Settings{
		MaxLease: set.MaxLease.D(), MinOrderGap: set.MinOrderGap.D(),
		MaxOrdersPerSecond: float64(set.OrdersPerSecond), KeepFinished: set.KeepFinished.D(),
	}, ports, log)

	var stopping atomic.Bool
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return node.Run(ctx) }, func(error) { cancel() })
	for _, side := range []struct {
		address settings.Address
		handler http.Handler
	}{
		{set.Callers, client.CallerHandler(node, stopping.Load)},
		{set.Readiness, client.ReadinessHandler(node)},
		{set.Operators, jobOperators(node)},
		{set.Peers, jobpeer.Handler(node)},
	} {
		if !side.address.IsValid() {
			continue
		}
		if err := addPlain(&group, side.address, side.handler); err != nil {
			cancel()
			return err
		}
	}
	addReload(ctx, &group, settingsPath, set, log)
	addStop(ctx, &group, node, &stopping, set.GracePeriod.D()-stopMargin)
	log.Started(set.CPUShare, set.MemoryMiB)
	err := group.Run()
	log.Stopped(err)
	return err
}

// addressOf writes an address that may be missing.
func addressOf(a settings.Address) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func hostOf(u settings.URL) string { return strings.TrimPrefix(string(u), "http://") }

func addPlain(group *run.Group, address settings.Address, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	group.Add(func() error {
		return errors.Wrapf(server.Serve(listener), "serving %s", address)
	}, func(error) { _ = server.Close() })
	return nil
}

// addStop ends the process a while after the first signal: readiness goes
// first, ownership is handed over, and open connections are served meanwhile.
func addStop(ctx context.Context, group *run.Group, node *jobnode.Node, stopping *atomic.Bool, wait time.Duration) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		stopping.Store(true)
		node.BeginStop()
		select {
		case <-time.After(max(wait, 0)):
		case <-signals:
		case <-ctx.Done():
		}
		return nil
	}, func(error) {
		signal.Stop(signals)
		cancel()
	})
}

// reloadEvery is the time between two looks at the settings file, which may
// change without a signal.
const reloadEvery = 5 * time.Second

// addReload reads the settings again after SIGHUP and now and then. What
// changed takes effect at the next start; a faulty file changes nothing.
func addReload(ctx context.Context, group *run.Group, path string, now settings.Serve, log *eventlog.Jobs) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		ticker := time.NewTicker(reloadEvery)
		defer ticker.Stop()
		for {
			asked := false
			select {
			case <-signals:
				asked = true
			case <-ticker.C:
			case <-ctx.Done():
				return nil
			}
			read, err := settings.LoadServe(path)
			if asked || err != nil || read != now {
				log.Reloaded(err, read != now)
			}
			if err == nil {
				now = read
			}
		}
	}, func(error) {
		signal.Stop(signals)
		cancel()
	})
}

// jobOperators is the handler of the operators' address.
func jobOperators(n *jobnode.Node) http.Handler {
	e := echo.New()
	e.GET("/metrics", func(c *echo.Context) error {
		c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.WriteMetrics(c.Response())
		return nil
	})
	e.GET("/dump", func(c *echo.Context) error {
		var dump job.Dump
		if err := n.Read(func(s *job.State) { dump = s.Dump() }); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.JSONPretty(http.StatusOK, dump, "  ")
	})
	return e
}
