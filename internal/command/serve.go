package command

import (
	"context"
	"fmt"
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

	"github.com/sardinehead/sardinehead/internal/bodylimit"
	"github.com/sardinehead/sardinehead/internal/configcheck"
	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/daemon"
	"github.com/sardinehead/sardinehead/internal/drainlisten"
	"github.com/sardinehead/sardinehead/internal/eventlog"
	"github.com/sardinehead/sardinehead/internal/jobnode"
	"github.com/sardinehead/sardinehead/internal/jobpeer"
	"github.com/sardinehead/sardinehead/internal/settings"
	"github.com/sardinehead/sardinehead/platform"
)

// Serve runs a node that schedules jobs on a deployment's own platform.
type Serve struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of this process"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

const (
	// headerReadTimeout is the timeout for reading the header of a request.
	headerReadTimeout = 3 * time.Second
	// exitMargin is the part of the grace period reserved for exiting after a
	// graceful stop has waited for open connections.
	exitMargin = 1500 * time.Millisecond
	// heapMemoryFraction is the share of the process's memory limit that is set as
	// the soft limit of the Go runtime.
	heapMemoryFraction = 0.6
	// liveTaskMemoryFraction is the share of the process's memory limit that the tasks of jobs may take, beyond the
	// tasks that each job has in any case.
	liveTaskMemoryFraction = 1.0 / 8
	// maxUnreadBodyBytes is the maximum size of a body on a port whose requests have none.
	maxUnreadBodyBytes = 4 << 10
)

// Execute implements flags.Commander.
func (s *Serve) Execute([]string) error {
	conf, err := settings.LoadServe(s.Settings)
	if err != nil {
		return err
	}
	if s.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	return runServe(context.Background(), s.Settings, conf)
}

// runServe runs the node and its HTTP servers until a signal or an error ends
// one of them.
func runServe(ctx context.Context, settingsPath string, conf settings.Serve) error {
	if conf.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(float64(conf.MemoryMiB<<20) * heapMemoryFraction))
	}
	log := eventlog.NewJobLogger(os.Stdout, string(conf.Node))
	client := platform.New(platform.Addresses{
		Store: hostPort(conf.Store), Machines: hostPort(conf.Machines), Advisor: hostPort(conf.Advisor),
	}, log)
	ports := client.Ports()
	ports.Peers = jobpeer.NewClient()
	node := jobnode.New(job.Identity{
		Node: conf.Node, Incarnation: daemon.NewIncarnation(), Zone: conf.Zone, CPUShare: float64(conf.CPUShare),
		PeerAddress: addressText(conf.Peers),
	}, job.Settings{
		Directory: true, MaxLease: conf.MaxLease.D(), MinOrderGap: conf.MinOrderGap.D(), EvacuationLimit: conf.EvacuationLimit.D(),
		MaxOrdersPerSecond: float64(conf.OrdersPerSecond), KeepFinished: conf.KeepFinished.D(),
		MaxLiveTasks:    int(float64(conf.MemoryMiB<<20) * liveTaskMemoryFraction / job.TaskBytes),
		RefuseWorthless: conf.RefuseWorthless, MaxRecordBytes: conf.MaxRecordBytes, MaxAppendBytes: conf.MaxAppendBytes,
	}, ports, log)

	var stopping atomic.Bool
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return node.Run(ctx) }, func(error) { cancel() })
	conns := drainlisten.NewConnLimits(conf.MemoryMiB<<20, conf.Descriptors)
	bodies := bodylimit.NewBudget(conf.BodyMemoryMiB << 20)
	for _, server := range []struct {
		address      settings.Address
		handler      http.Handler
		maxBodyBytes int64
		maxConns     int
	}{
		{conf.Callers, client.CallerHandler(node, stopping.Load), platform.MaxBodyBytes, conns.Callers},
		{conf.Readiness, client.ReadinessHandler(node), maxUnreadBodyBytes, conns.Other},
		{conf.Operators, jobOperatorsHandler(node), maxUnreadBodyBytes, conns.Other},
		{conf.Peers, jobpeer.Handler(node), jobpeer.MaxBodyBytes, conns.Peers},
	} {
		if !server.address.IsValid() {
			continue
		}
		limits := bodylimit.Limits{Budget: bodies, MaxBytes: server.maxBodyBytes, Timeout: conf.BodyTimeout.D()}
		if err := addHTTPServer(&group, server.address, limits.Handler(server.handler), server.maxConns); err != nil {
			cancel()
			return err
		}
	}
	addSettingsReload(ctx, &group, settingsPath, conf, log)
	addGracefulStop(ctx, &group, node, &stopping, conf.GracePeriod.D()-exitMargin)
	log.Started(conf.CPUShare, conf.MemoryMiB)
	err := group.Run()
	log.Stopped(err)
	return err
}

// addressText returns the text of an address, or "" if it is not set.
func addressText(a settings.Address) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// hostPort returns the host and port of a base URL.
func hostPort(u settings.URL) string { return strings.TrimPrefix(string(u), "http://") }

// shutdownTimeout is the time for which a server waits at the end of the process until the
// requests in progress are answered: the node has ended then, and answers them at once.
const shutdownTimeout = 500 * time.Millisecond

// addHTTPServer listens on the address at once and adds a plain HTTP server with up to maxConns
// connections to the group.
func addHTTPServer(group *run.Group, address settings.Address, handler http.Handler, maxConns int) error {
	listener, err := drainlisten.Listen(address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := drainlisten.NewServer(&http.Server{
		Handler: handler, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: bodylimit.MaxHeaderBytes,
	}, listener, maxConns)
	group.Add(func() error {
		return errors.Wrapf(server.Serve(false), "serve on %s", address)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	return nil
}

// addGracefulStop ends the group after the first SIGINT or SIGTERM: the node
// reports that it is not ready and transfers its ownership, and open connections
// are served for the drain time. A second signal ends it at once.
func addGracefulStop(ctx context.Context, group *run.Group, node *jobnode.Node, stopping *atomic.Bool, drainTime time.Duration) {
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
		case <-time.After(max(drainTime, 0)):
		case <-signals:
		case <-ctx.Done():
		}
		return nil
	}, func(error) {
		signal.Stop(signals)
		cancel()
	})
}

// reloadInterval is the time between two reads of the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// addSettingsReload reads the settings file after SIGHUP and at every
// reloadInterval, and logs changes and errors. Changed settings take effect at
// the next start of the process.
func addSettingsReload(ctx context.Context, group *run.Group, path string, current settings.Serve, log *eventlog.JobLogger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			signaled := false
			select {
			case <-signals:
				signaled = true
			case <-ticker.C:
			case <-ctx.Done():
				return nil
			}
			reloaded, err := settings.LoadServe(path)
			if signaled || err != nil || reloaded != current {
				log.Reloaded(err, reloaded != current)
			}
			if err == nil {
				current = reloaded
			}
		}
	}, func(error) {
		signal.Stop(signals)
		cancel()
	})
}

// jobOperatorsHandler serves metrics and the state of the node on the operators'
// address.
func jobOperatorsHandler(n *jobnode.Node) http.Handler {
	e := echo.New()
	e.GET("/metrics", func(c *echo.Context) error {
		c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.WriteMetrics(c.Response())
		bodylimit.WriteMetrics(c.Response())
		drainlisten.WriteMetrics(c.Response())
		return nil
	})
	e.GET("/dump", func(c *echo.Context) error {
		var dump job.Dump
		if err := n.Read(func(s *job.State) { dump = s.Dump() }); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.JSONPretty(http.StatusOK, dump, "  ")
	})
	e.GET("/config", func(c *echo.Context) error {
		var config *job.Config
		if err := n.Read(func(s *job.State) { config = s.Config() }); err != nil || config == nil {
			return c.String(http.StatusServiceUnavailable, "no configuration yet\n")
		}
		return c.JSONPretty(http.StatusOK, configcheck.WithoutSecrets(config), "  ")
	})
	return e
}
