// Package gossip spreads short-lived facts between entry processes: what each
// process has folded and settled, its demand, the VMs that are leaving and the
// keys that were withdrawn. The newest report of a process wins; messages are
// bounded in bytes. Nothing in it is a licence to act on shared state.
package gossip

import "github.com/sardinehead/sardinehead/internal/vocab"

// Report is what one process says of itself. A later counter replaces an
// earlier one as a whole.
type Report struct {
	Process vocab.Incarnation
	// Counter grows with each report of the process; it is the heartbeat.
	Counter uint64
	Node    vocab.NodeID
	// Address is the IP:port of the process's peer service.
	Address string
	// Folded is the offset up to which the fleet stream is folded, and Digest
	// that of the shared state there.
	Folded vocab.Offset
	Digest uint64
	// Settled and Confirmed are the offsets that package limit exchanges.
	Settled   vocab.Offset
	Confirmed vocab.Offset
	// Silent lists the processes whose counters do not advance for this one.
	Silent []vocab.Incarnation
	// Brief is set in a report that was passed on without its Demand, for want of
	// room. It says nothing about demand.
	Brief bool
	// Revision tells by which configuration Demand is numbered.
	Revision vocab.Revision
	Demand   []Demand
	// Busy lists the VMs that get no new work and still run some for this process.
	Busy []vocab.VMID
}

// Demand is one team's demand at one pool. Pools and teams are numbered in the
// order of their names in the configuration of the report's revision.
type Demand struct {
	Pool uint32
	Team uint32
	// Slots is the demand in slots.
	Slots float32
	// AttainedMillis is the slot time used since the process started, in ms.
	AttainedMillis uint64
}

// Leaving says that an incarnation of a VM is leaving.
type Leaving struct {
	VM          vocab.VMID
	Incarnation vocab.VMIncarnation
}

// Message is what one process tells another.
type Message struct {
	From    vocab.Incarnation
	Reports []Report
	Leaving []Leaving
	// Withdrawn lists keys whose withdrawal may not be on the log yet.
	Withdrawn []vocab.KeyID
}

const (
	// maxReportBytes bounds the reports of one message as size estimates it.
	maxReportBytes = 700
	// briefBytes is the room beyond maxReportBytes that brief reports may take, so
	// that heartbeats come through where demand fills the messages.
	briefBytes = 500
	// maxDemands bounds the demands of one report.
	maxDemands = 48
	// maxFacts bounds leaving VMs and withdrawn keys in one message each.
	maxFacts = 64
)

// brief returns the report without its demand.
func (r *Report) brief() Report {
	b := *r
	b.Brief = true
	b.Revision = 0
	b.Demand = nil
	return b
}

// size estimates the encoded bytes of a report.
func (r *Report) size() int {
	const fixed, perDemand, perProcess = 48, 14, 9
	n := fixed + len(r.Node) + len(r.Address) + perDemand*len(r.Demand) + perProcess*len(r.Silent)
	for _, vm := range r.Busy {
		n += len(vm) + 2
	}
	return n
}
