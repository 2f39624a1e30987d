package slopes

import (
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// fleetSize is the number of teams, pools, VMs and entry nodes of a generated fleet.
type fleetSize struct {
	teams, pools, vms, nodes int
}

// designSize returns the size that the system is designed for.
func designSize() fleetSize {
	return fleetSize{teams: designTeams, pools: designPools, vms: designVMs, nodes: designNodes}
}

func teamName(i int) vocab.TeamID {
	return vocab.TeamID(fmt.Sprintf("team-%04d", i))
}

func poolName(i int) vocab.PoolID {
	return vocab.PoolID(fmt.Sprintf("pool-%03d", i))
}

func vmName(i int) vocab.VMID {
	return vocab.VMID(fmt.Sprintf("vm-%05d", i))
}

func zoneName(i int) vocab.ZoneID {
	return vocab.ZoneID(fmt.Sprintf("zone-%d", i%designZones))
}

// placeholderSecretHash returns a hash as long as the SHA-256 of a secret.
func placeholderSecretHash() []byte {
	return make([]byte, 32)
}

// configuration returns a fleet with one service for each pool but pool 0, which
// is the spare pool.
func (size fleetSize) configuration() spec.Fleet {
	f := spec.Fleet{Name: "design", Maintenance: spec.Maintenance{
		Interval: spec.Duration(28 * day), DrainTimeout: spec.Duration(3 * time.Minute),
		RebootTimeout: spec.Duration(5 * time.Minute), StopAfter: 5,
	}}
	var zones []vocab.ZoneID
	for i := range designZones {
		zones = append(zones, zoneName(i))
	}
	f.Regions = []spec.Region{{Name: "north", Zones: zones[:3]}, {Name: "mid", Zones: zones[3:6]}, {Name: "south", Zones: zones[6:]}}
	for i := range size.teams {
		f.Teams = append(f.Teams, spec.Team{Name: teamName(i), Share: 1 + i%7, UpperLimit: 40})
	}
	perPool := max(1, size.vms/size.pools)
	for i := range size.pools {
		f.Pools = append(f.Pools, spec.Pool{Name: poolName(i), VMs: perPool, Slots: 8, MaxConnections: 64, Zones: zones, Spare: i == 0})
		if i > 0 {
			f.Services = append(f.Services, poolService(i, perPool))
		}
	}
	return f.Normalized()
}

// poolService returns the service of pool i, which has perPool VMs.
func poolService(i, perPool int) spec.Service {
	name := poolName(i)
	return spec.Service{
		Queue: vocab.QueueID(name), Pool: name, File: "services/" + string(name) + "/sardinehead.json", Open: true,
		QueueLimits: spec.QueueLimits{MaxQueued: 4000, MaxQueuedPerTeam: 1000, MaxBodyBytes: 1 << 20},
		Budget:      spec.AvailabilityBudget{MinReady: perPool / 2},
		TimeLimits:  spec.TimeLimits{Queue: spec.Duration(10 * time.Second), FirstByte: spec.Duration(time.Second), Run: spec.Duration(30 * time.Second)},
		Requests: []spec.RequestRule{
			{Methods: []string{"GET"}, PathPrefix: "/", Idempotent: true},
			{Methods: []string{"POST"}, PathPrefix: "/orders", Urgent: true},
		},
	}
}

// recordBodies returns the records of the fleet stream: the configuration, one
// joined node for each entry node and one key for each team.
func (size fleetSize) recordBodies() []record.Body {
	out := []record.Body{record.ConfigPublished{Operator: "operator", Fleet: size.configuration()}}
	for i := range size.nodes {
		out = append(out, record.NodeJoined{
			Node: nodeName(i), Incarnation: incarnation(i), Zone: zoneName(i), Region: "north", PeerAddress: peerAddress(i),
		})
	}
	for i := range size.teams {
		out = append(out, record.KeyGiven{
			Key: vocab.KeyID(teamName(i)), Team: teamName(i), SecretHash: placeholderSecretHash(), Operator: "operator",
		})
	}
	return out
}

func nodeName(i int) vocab.NodeID {
	return vocab.NodeID(fmt.Sprintf("entry-%02d", i))
}

// incarnation returns the incarnation of node i. It has as many digits as a random
// number, so that encoded sizes are realistic.
func incarnation(i int) vocab.Incarnation {
	return vocab.Incarnation(uint64(i+1) * 0x9e3779b97f4a7c15)
}

func peerAddress(i int) string {
	return fmt.Sprintf("10.0.%d.%d:9200", i/200, 10+i%200)
}

// sequencedRecords encodes bodies as consecutive records of a stream, starting at
// offset from.
func sequencedRecords(from vocab.Offset, bodies ...record.Body) []record.Sequenced {
	var out []record.Sequenced
	for i, body := range bodies {
		at := from + vocab.Offset(i)
		envelope, err := record.Encode(vocab.RecordID(fmt.Sprintf("3w5e11264sgsf-%d", at)), body)
		if err != nil {
			panic(err) // bodies built here always encode
		}
		out = append(out, record.Sequenced{Offset: at, Envelope: envelope})
	}
	return out
}

// vmRows returns the VM list.
func (size fleetSize) vmRows() []observe.Row {
	var rows []observe.Row
	for i := range size.vms {
		rows = append(rows, observe.Row{
			Name: vmName(i), Incarnation: 1, Pool: poolName(i % size.pools), Region: "north", Zone: zoneName(i / size.pools),
			Rack: vocab.RackID(fmt.Sprintf("rack-%03d", i/16)), Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
			Phase: observe.ListLive,
		})
	}
	return rows
}

// reducer returns the reducer of the first node after it has folded the fleet
// stream and received the VM list.
func (size fleetSize) reducer() *core.State {
	s := core.New(core.Identity{Node: nodeName(0), Incarnation: incarnation(0), Zone: zoneName(0), PeerAddress: peerAddress(0)})
	s.Step(1, core.RecordsRead{Records: sequencedRecords(1, size.recordBodies()...), CaughtUp: true})
	s.Step(2, core.LogStatus{Up: true})
	s.Step(3, core.VMsListed{Version: 1, Rows: size.vmRows()})
	return s
}
