package core

import (
	"slices"
	"strconv"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/membership"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/share"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// peerState is what this node knows of the other entry processes.
type peerState struct {
	gossip *gossip.State
	view   membership.View
	round  uint64
	// roundAt is when the last round of gossip began.
	roundAt vocab.Instant
	// expected is when this node began to expect each member.
	expected map[vocab.Incarnation]vocab.Instant
	// digest is the shared state's digest at the offset digestAt.
	digest   uint64
	digestAt vocab.Offset
	// diverged holds the processes whose fold was found to differ.
	diverged map[vocab.Incarnation]bool
}

func newPeerState(self vocab.Incarnation) peerState {
	return peerState{
		gossip:   gossip.New(self),
		expected: map[vocab.Incarnation]vocab.Instant{},
		diverged: map[vocab.Incarnation]bool{},
	}
}

// gossipRound makes a report and exchanges gossip with the next partners.
func (s *State) gossipRound() {
	if s.now.Sub(s.peers.roundAt) < membership.Round {
		return
	}
	s.peers.roundAt = s.now
	s.peers.round++
	s.judgeMembers()
	s.peers.gossip.SetOwn(s.now, s.ownReport())
	partners := membership.Partners(s.otherProcesses(), uint64(s.self.Incarnation), s.peers.round)
	for _, id := range partners {
		s.sendGossip(id)
	}
}

// sendGossip exchanges gossip with one process, if its address is known.
func (s *State) sendGossip(id vocab.Incarnation) {
	if address := s.addressOf(id); address != "" {
		s.emit(SendGossip{Address: address, Message: s.peers.gossip.Compose(s.now)})
	}
}

// pushGossip sends urgent news to all others at once.
func (s *State) pushGossip() {
	for _, id := range s.otherProcesses() {
		s.sendGossip(id)
	}
}

// otherProcesses returns the members and the processes that gossip names,
// without this one, sorted.
func (s *State) otherProcesses() []vocab.Incarnation {
	out := s.peers.gossip.Processes()
	for id := range s.Shared().Members {
		out = append(out, id)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(id vocab.Incarnation) bool {
		_, removed := s.Shared().Removed[id]
		return id == s.self.Incarnation || removed
	})
}

func (s *State) addressOf(id vocab.Incarnation) string {
	if m, ok := s.Shared().Members[id]; ok {
		return m.PeerAddress
	}
	r, _, _ := s.peers.gossip.Report(id)
	return r.Address
}

func (s *State) ownReport() gossip.Report {
	settled, confirmed := s.limits.Settled()
	return gossip.Report{
		Node:      s.self.Node,
		Address:   s.self.PeerAddress,
		Folded:    s.Shared().Offset,
		Digest:    s.sharedDigest(),
		Settled:   settled,
		Confirmed: confirmed,
		Silent:    s.peers.view.Silent,
		Revision:  s.Shared().Revision,
		Demand:    s.demandReport(),
		Busy:      s.busyLeavingVMs(),
	}
}

// sharedDigest computes the digest once for each offset.
func (s *State) sharedDigest() uint64 {
	if at := s.Shared().Offset; at != s.peers.digestAt {
		s.peers.digest, _ = strconv.ParseUint(s.Shared().Digest(), 16, 64)
		s.peers.digestAt = at
	}
	return s.peers.digest
}

// demandReport numbers this node's share reports for gossip.
func (s *State) demandReport() []gossip.Demand {
	facts := s.ShareFacts()
	out := make([]gossip.Demand, 0, len(facts))
	for _, f := range facts {
		pool, poolKnown := s.numbers.pools[f.Pool]
		team, teamKnown := s.numbers.teams[f.Team]
		if !poolKnown || !teamKnown {
			continue
		}
		out = append(out, gossip.Demand{
			Pool:           pool,
			Team:           team,
			Slots:          float32(f.Demand),
			AttainedMillis: uint64(f.Attained.Milliseconds()),
		})
	}
	return out
}

// busyLeavingVMs returns the VMs that get no new work and still run some here.
func (s *State) busyLeavingVMs() []vocab.VMID {
	var out []vocab.VMID
	for _, vm := range s.vms.All() {
		if vm.Phase != observe.PhaseReady && s.running[vm.Name] > 0 {
			out = append(out, vm.Name)
		}
	}
	return out
}

// takeGossip takes in what another process told.
func (s *State) takeGossip(m gossip.Message) {
	news := s.peers.gossip.Merge(s.now, m)
	for i := range news.Reports {
		s.takeReport(&news.Reports[i])
	}
	for _, l := range news.Leaving {
		if s.vms.MarkLeaving(l.VM, l.Incarnation) {
			s.notice(NoticeVMLeaving, string(l.VM), "another node saw the upstream say that it is leaving")
		}
	}
	for _, key := range news.Withdrawn {
		s.withdrawKey(key)
	}
	if len(news.Leaving)+len(news.Withdrawn) > 0 {
		s.pushGossip()
	}
}

func (s *State) takeReport(r *gossip.Report) {
	s.limits.OnSettled(s.now, r.Process, r.Settled, r.Confirmed)
	s.compareDigest(r)
	if s.Shared().Fleet == nil || r.Revision != s.Shared().Revision {
		return
	}
	for _, d := range r.Demand {
		s.takeDemand(r.Process, d)
	}
}

// takeDemand passes one row of a report of the same revision to the shares.
func (s *State) takeDemand(process vocab.Incarnation, d gossip.Demand) {
	fleet := s.Shared().Fleet
	if int(d.Pool) >= len(fleet.Pools) || int(d.Team) >= len(fleet.Teams) {
		return
	}
	s.ObserveShare(share.Fact{
		Pool:     fleet.Pools[d.Pool].Name,
		Team:     fleet.Teams[d.Team].Name,
		Node:     process,
		Demand:   float64(d.Slots),
		Attained: millis(d.AttainedMillis),
	})
}

// compareDigest tells loudly if another process folded the same records to
// another state.
func (s *State) compareDigest(r *gossip.Report) {
	if r.Folded != s.Shared().Offset || r.Folded == 0 || r.Digest == s.sharedDigest() || s.peers.diverged[r.Process] {
		return
	}
	s.peers.diverged[r.Process] = true
	s.notice(NoticeDiverged, string(r.Node), "the shared states differ at offset "+strconv.FormatUint(uint64(r.Folded), 10))
}

// judgeMembers forms the view of the other processes.
func (s *State) judgeMembers() {
	accusers := s.accusers()
	var others []membership.Process
	for _, id := range s.otherProcesses() {
		p := membership.Process{ID: id, Zone: s.Shared().Members[id].Zone, Accusers: accusers[id]}
		_, p.Heard, p.Known = s.peers.gossip.Report(id)
		if !p.Known {
			p.Heard = s.expectedSince(id)
		}
		others = append(others, p)
	}
	before := s.peers.view
	s.peers.view = membership.Judge(s.now, others)
	s.limits.SetReachable(s.peers.view.Reachable)
	s.noteView(before)
}

// accusers counts, for each process, the others that find it silent.
func (s *State) accusers() map[vocab.Incarnation]int {
	out := map[vocab.Incarnation]int{}
	for _, id := range s.peers.gossip.Processes() {
		r, _, _ := s.peers.gossip.Report(id)
		for _, silent := range r.Silent {
			out[silent]++
		}
	}
	return out
}

func (s *State) expectedSince(id vocab.Incarnation) vocab.Instant {
	at, ok := s.peers.expected[id]
	if !ok {
		at = s.now
		s.peers.expected[id] = at
	}
	return at
}

// noteView tells of processes that became suspect or answer again.
func (s *State) noteView(before membership.View) {
	for _, id := range s.peers.view.Suspect {
		if !slices.Contains(before.Suspect, id) {
			s.notice(NoticeNodeSuspect, string(s.nodeOf(id)), "its heartbeat stands still for several nodes")
		}
	}
	for _, id := range before.Suspect {
		if slices.Contains(s.peers.view.Reachable, id) {
			s.notice(NoticeNodeBack, string(s.nodeOf(id)), "")
		}
	}
	for _, zone := range s.peers.view.LostZones {
		if !slices.Contains(before.LostZones, zone) {
			s.notice(NoticeZoneLost, string(zone), "all its entry nodes are silent")
		}
	}
}

func (s *State) nodeOf(id vocab.Incarnation) vocab.NodeID {
	if m, ok := s.Shared().Members[id]; ok {
		return m.Node
	}
	r, _, _ := s.peers.gossip.Report(id)
	return r.Node
}
