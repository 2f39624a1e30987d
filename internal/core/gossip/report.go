// Package gossip spreads short-lived state between entry processes: up to which
// offset each process has folded the fleet stream and settled its limits, its
// demand, the VMs that are leaving and the keys that were withdrawn. Of each
// process only the report with the highest counter is kept, and the size of a
// message is bounded. Gossip may be stale or lost, so it never justifies a change
// of shared state.
package gossip

import "github.com/sardinehead/sardinehead/internal/vocab"

// Report describes the state of one process. A report with a higher counter
// replaces the earlier one as a whole.
type Report struct {
	Process vocab.Incarnation
	// Counter grows with each report of the process and serves as its heartbeat.
	Counter uint64
	Node    vocab.NodeID
	// Address is the IP:port of the process's peer service.
	Address string
	// Folded is the offset up to which the process has folded the fleet stream.
	Folded vocab.Offset
	// Digest is the digest of the shared state at the offset Folded.
	Digest uint64
	// Settled is the offset up to which the process uses no more than its base
	// quotas.
	Settled vocab.Offset
	// Confirmed is the offset up to which all other processes have reported to the
	// process that they are settled.
	Confirmed vocab.Offset
	// Silent lists the processes that this process finds silent, since their
	// counters have not grown within the heartbeat timeout.
	Silent []vocab.Incarnation
	// Brief is true in a report that was forwarded without Demand and Revision
	// because the message was full. The demand of the process is then unknown.
	Brief bool
	// Revision is the configuration in which Demand numbers pools and teams.
	Revision vocab.Revision
	Demand   []Demand
	// BusyUnreadyVMs lists the VMs that are not ready, and so get no new work, but
	// still run requests of this process.
	BusyUnreadyVMs []vocab.VMID
}

// Demand is one team's demand at one pool. Pools and teams are numbered in the
// order of their names in the configuration of the report's revision.
type Demand struct {
	Pool uint32
	Team uint32
	// Slots is the number of slots that the team demands.
	Slots float32
	// AccumulatedServiceMillis is the accumulated service of the team since the process
	// started: the time in ms for which it used slots, summed over the slots.
	AccumulatedServiceMillis uint64
}

// Leaving reports that an incarnation of a VM is leaving: the upstream on it has
// said that it is going to stop.
type Leaving struct {
	VM          vocab.VMID
	Incarnation vocab.VMIncarnation
}

// Message holds what one process sends to another in an exchange.
type Message struct {
	From    vocab.Incarnation
	Reports []Report
	Leaving []Leaving
	// Withdrawn lists withdrawn keys, whose records may not be on the log yet.
	Withdrawn []vocab.KeyID
}

const (
	// maxReportBytes bounds the estimated size of the reports in one message.
	maxReportBytes = 700
	// extraBriefBytes is available to brief reports beyond maxReportBytes, so that
	// heartbeats spread even if demand fills the messages.
	extraBriefBytes = 500
	// maxDemands bounds the demand rows of one report.
	maxDemands = 48
	// maxFactsPerKind bounds the leaving VMs, and likewise the withdrawn keys, in
	// one message.
	maxFactsPerKind = 64
)

// withoutDemand returns a brief copy of the report.
func (r *Report) withoutDemand() Report {
	b := *r
	b.Brief = true
	b.Revision = 0
	b.Demand = nil
	return b
}

// estimatedBytes estimates the size of the encoded report.
func (r *Report) estimatedBytes() int {
	const fixed, perDemand, perProcess = 48, 14, 9
	n := fixed + len(r.Node) + len(r.Address) + perDemand*len(r.Demand) + perProcess*len(r.Silent)
	for _, vm := range r.BusyUnreadyVMs {
		n += len(vm) + 2
	}
	return n
}
