// Package dev runs an installation in one process on the loopback address:
// stand-ins for the platform and for every upstream, and entry nodes. It is meant
// for trying out sardinehead and for tests over real sockets.
package dev

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/credential"
	"github.com/sardinehead/sardinehead/internal/daemon"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/standin"
	"github.com/sardinehead/sardinehead/internal/standin/workers"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Options are the options of Start.
type Options struct {
	// Fleet is the configuration. Each VM of its pools gets a stand-in.
	Fleet spec.Fleet
	// Nodes is the number of entry nodes.
	Nodes int
	// FirstPort is the port for callers of the first node; each further node uses
	// the port after. 0 uses free ports.
	FirstPort int
	// PlatformPort is the port of the platform's stand-in; 0 uses a free port.
	PlatformPort int
	// Unpublished leaves the log empty, without the configuration and keys.
	Unpublished bool
	// LogOutput is the writer of the nodes' log events.
	LogOutput io.Writer
}

// Installation is a running installation.
type Installation struct {
	Log       *standin.Log
	VMs       *standin.VMs
	Upstreams map[vocab.VMID]*standin.Upstream
	Workers   *workers.Service
	// Concurrency counts the running requests of all upstreams.
	Concurrency *standin.ConcurrencyCounter
	Nodes       []*EntryNode
	// InitialVMs are the VMs of the VM list at the start.
	InitialVMs []services.VM
	// PlatformURL is the base address of the platform's stand-in.
	PlatformURL string
	// Keys holds one key for each team, ready for an Authorization header.
	Keys map[vocab.TeamID]string

	trust   daemon.PeerAuth
	servers []*http.Server
	cancel  context.CancelFunc
}

// EntryNode is one entry node of an installation.
type EntryNode struct {
	*daemon.Process
	ID vocab.NodeID
	// Address is the IP:port for callers.
	Address string
	// Operators is the IP:port for operators.
	Operators string
	// PeerAddress is the IP:port for other nodes.
	PeerAddress  string
	callerServer *http.Server
	peerServer   *http.Server
	cancel       context.CancelFunc
}

// Start starts an installation, which runs until Close.
func Start(o Options) (*Installation, error) {
	ctx, cancel := context.WithCancel(context.Background())
	in := &Installation{
		Log:         standin.NewLog(),
		Upstreams:   map[vocab.VMID]*standin.Upstream{},
		Concurrency: standin.NewConcurrencyCounter(),
		Keys:        map[vocab.TeamID]string{},
		trust:       daemon.PeerAuth{Secret: []byte(rand.Text())},
		cancel:      cancel,
	}
	err := in.start(ctx, o)
	if err != nil {
		in.Close()
		return nil, err
	}
	return in, nil
}

func (in *Installation) start(ctx context.Context, o Options) error {
	vms, err := in.startUpstreams(&o.Fleet)
	if err != nil {
		return err
	}
	in.InitialVMs = vms
	in.VMs = standin.NewVMs(vms)
	in.Workers = startWorkers(&o.Fleet)
	address, err := in.serve(platformHandler(in), o.PlatformPort)
	if err != nil {
		return err
	}
	in.PlatformURL = "http://" + address
	if !o.Unpublished {
		if err := in.publish(ctx, o.Fleet); err != nil {
			return err
		}
	}
	for i := range o.Nodes {
		if err := in.startEntryNode(ctx, o, i); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts one upstream for each VM of each pool and returns the VMs.
func (in *Installation) startUpstreams(fleet *spec.Fleet) ([]services.VM, error) {
	var vms []services.VM
	for _, pool := range fleet.Pools {
		for i := range pool.VMs {
			vm, err := in.startUpstream(fleet, pool, i)
			if err != nil {
				return nil, err
			}
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

// startUpstream starts the upstream of VM i of a pool.
func (in *Installation) startUpstream(fleet *spec.Fleet, pool spec.Pool, i int) (services.VM, error) {
	name := vocab.VMID(fmt.Sprintf("%s-%d", pool.Name, i+1))
	upstream := standin.NewUpstream(string(name))
	upstream.Concurrency = in.Concurrency
	address, err := in.serve(upstream, 0)
	if err != nil {
		return services.VM{}, err
	}
	in.Upstreams[name] = upstream
	zone := pool.Zones[i%len(pool.Zones)]
	return services.VM{
		Name:        name,
		Incarnation: 1,
		Pool:        pool.Name,
		Region:      regionOf(fleet, zone),
		Zone:        zone,
		Rack:        vocab.RackID(fmt.Sprintf("%s-rack-%d", zone, i/len(pool.Zones)/4+1)),
		Address:     address,
		Phase:       services.VMLive,
	}, nil
}

// regionOf returns the region of a zone, or "" if no region has the zone.
func regionOf(fleet *spec.Fleet, zone vocab.ZoneID) vocab.RegionID {
	for _, r := range fleet.Regions {
		for _, z := range r.Zones {
			if z == zone {
				return r.Name
			}
		}
	}
	return ""
}

// publish appends the configuration and one API key for each team to the log.
func (in *Installation) publish(ctx context.Context, fleet spec.Fleet) error {
	bodies := []record.Body{record.ConfigPublished{Operator: "dev", Fleet: fleet}}
	for _, t := range fleet.Teams {
		key, _ := credential.Parse("sh_dev-" + string(t.Name) + "_" + rand.Text())
		in.Keys[t.Name] = key.Text()
		bodies = append(bodies, record.KeyGiven{Key: key.ID, Team: t.Name, SecretHash: key.Hash(), Operator: "dev"})
	}
	for _, body := range bodies {
		envelope, err := record.Encode(vocab.RecordID(uuid.NewString()), body)
		if err != nil {
			return err
		}
		if _, err := in.Log.Append(ctx, shared.Stream, []record.Envelope{envelope}); err != nil {
			return err
		}
	}
	return nil
}

// startEntryNode starts entry node i. Its first peers are the nodes started before.
func (in *Installation) startEntryNode(ctx context.Context, o Options, i int) error {
	zones := o.Fleet.Regions[0].Zones
	self := core.Identity{
		Node:        vocab.NodeID(fmt.Sprintf("entry-%d", i+1)),
		Incarnation: daemon.NewIncarnation(),
		Zone:        zones[i%len(zones)],
		Region:      o.Fleet.Regions[0].Name,
	}
	peerListener, err := net.Listen("tcp", loopback(0))
	if err != nil {
		return errors.Wrap(err, "listening on loopback")
	}
	self.PeerAddress = peerListener.Addr().String()
	for _, other := range in.Nodes {
		self.FirstPeers = append(self.FirstPeers, other.PeerAddress)
	}
	process := daemon.NewProcess(self, daemon.Platform{Log: in.PlatformURL, VMList: in.PlatformURL}, in.trust, o.LogOutput)
	peerServer := in.serveOn(peerListener, process.Peers)
	port := 0
	if o.FirstPort > 0 {
		port = o.FirstPort + i
	}
	address, err := in.serve(process.Callers, port)
	if err != nil {
		return err
	}
	callerServer := in.servers[len(in.servers)-1]
	operators, err := in.serve(process.Operators, 0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() { _ = process.Node.Run(ctx) }()
	in.Nodes = append(in.Nodes, &EntryNode{
		Process:      process,
		ID:           self.Node,
		Address:      address,
		Operators:    operators,
		PeerAddress:  self.PeerAddress,
		callerServer: callerServer,
		peerServer:   peerServer,
		cancel:       cancel,
	})
	return nil
}

// StopNode stops an entry node gracefully.
func (in *Installation) StopNode(ctx context.Context, i int) error {
	e := in.Nodes[i]
	defer e.cancel()
	return e.Node.Stop(ctx, node.StopPlan{Drain: e.callerServer.Shutdown, LeaveWait: time.Second})
}

// loopback returns the loopback address with a port.
func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// KillNode stops an entry node abruptly, as the loss of its VM does.
func (in *Installation) KillNode(i int) {
	e := in.Nodes[i]
	e.cancel()
	_ = e.callerServer.Close()
	_ = e.peerServer.Close()
	e.Process.Close()
}

// serve starts an HTTP server on the loopback address and returns its IP:port.
func (in *Installation) serve(handler http.Handler, port int) (string, error) {
	listener, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return "", errors.Wrap(err, "listening on loopback")
	}
	in.serveOn(listener, handler)
	return listener.Addr().String(), nil
}

// serveOn starts an HTTP server on a listener.
func (in *Installation) serveOn(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	in.servers = append(in.servers, server)
	go func() { _ = server.Serve(listener) }()
	return server
}

// Close stops all nodes and servers abruptly.
func (in *Installation) Close() {
	in.cancel()
	for _, s := range in.servers {
		_ = s.Close()
	}
	for _, e := range in.Nodes {
		e.Process.Close()
	}
}
