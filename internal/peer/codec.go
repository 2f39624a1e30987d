package peer

import (
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/peer/peerpb"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

func encodeGossip(m gossip.Message) *peerpb.Gossip {
	out := &peerpb.Gossip{From: uint64(m.From)}
	for i := range m.Reports {
		out.Reports = append(out.Reports, encodeReport(&m.Reports[i]))
	}
	for _, l := range m.Leaving {
		out.Leaving = append(out.Leaving, &peerpb.Leaving{Vm: string(l.VM), Incarnation: uint64(l.Incarnation)})
	}
	for _, key := range m.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, string(key))
	}
	return out
}

func encodeReport(r *gossip.Report) *peerpb.Report {
	out := &peerpb.Report{
		Process:   uint64(r.Process),
		Counter:   r.Counter,
		Node:      string(r.Node),
		Address:   r.Address,
		Folded:    uint64(r.Folded),
		Digest:    r.Digest,
		Settled:   uint64(r.Settled),
		Confirmed: uint64(r.Confirmed),
		Revision:  uint64(r.Revision),
		Brief:     r.Brief,
	}
	for _, id := range r.Silent {
		out.Silent = append(out.Silent, uint64(id))
	}
	for _, d := range r.Demand {
		out.DemandPools = append(out.DemandPools, d.Pool)
		out.DemandTeams = append(out.DemandTeams, d.Team)
		out.DemandSlots = append(out.DemandSlots, d.Slots)
		out.DemandAttainedMs = append(out.DemandAttainedMs, d.AccumulatedServiceMillis)
	}
	for _, vm := range r.BusyUnreadyVMs {
		out.Busy = append(out.Busy, string(vm))
	}
	return out
}

func decodeGossip(m *peerpb.Gossip) gossip.Message {
	out := gossip.Message{From: vocab.Incarnation(m.From)}
	for _, r := range m.Reports {
		out.Reports = append(out.Reports, decodeReport(r))
	}
	for _, l := range m.Leaving {
		out.Leaving = append(out.Leaving, gossip.Leaving{VM: vocab.VMID(l.Vm), Incarnation: vocab.VMIncarnation(l.Incarnation)})
	}
	for _, key := range m.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, vocab.KeyID(key))
	}
	return out
}

func decodeReport(r *peerpb.Report) gossip.Report {
	out := gossip.Report{
		Process:   vocab.Incarnation(r.Process),
		Counter:   r.Counter,
		Node:      vocab.NodeID(r.Node),
		Address:   r.Address,
		Folded:    vocab.Offset(r.Folded),
		Digest:    r.Digest,
		Settled:   vocab.Offset(r.Settled),
		Confirmed: vocab.Offset(r.Confirmed),
		Revision:  vocab.Revision(r.Revision),
		Brief:     r.Brief,
		Demand:    decodeDemand(r),
	}
	for _, id := range r.Silent {
		out.Silent = append(out.Silent, vocab.Incarnation(id))
	}
	for _, vm := range r.Busy {
		out.BusyUnreadyVMs = append(out.BusyUnreadyVMs, vocab.VMID(vm))
	}
	return out
}

// decodeDemand reads the demands, which are encoded as one list for each field.
// Entries beyond the end of the shortest list are ignored.
func decodeDemand(r *peerpb.Report) []gossip.Demand {
	rows := min(len(r.DemandPools), len(r.DemandTeams), len(r.DemandSlots), len(r.DemandAttainedMs))
	var out []gossip.Demand
	for i := range rows {
		out = append(out, gossip.Demand{
			Pool:                     r.DemandPools[i],
			Team:                     r.DemandTeams[i],
			Slots:                    r.DemandSlots[i],
			AccumulatedServiceMillis: r.DemandAttainedMs[i],
		})
	}
	return out
}
