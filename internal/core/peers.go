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

// peerState is this node's knowledge about the other entry processes.
type peerState struct {
	gossip *gossip.State
	view   membership.View
	// round counts the rounds of gossip.
	round uint64
	// lastRound is the start time of the last round of gossip.
	lastRound vocab.Instant
	// firstExpected holds the time from which this node waits for a first report
	// from a process.
	firstExpected map[vocab.Incarnation]vocab.Instant
	// digest is the digest of the shared state at digestOffset.
	digest       uint64
	digestOffset vocab.Offset
	// diverged holds the processes whose digest differed at the same offset.
	diverged map[vocab.Incarnation]bool
}

func newPeerState(self vocab.Incarnation) peerState {
	return peerState{
		gossip:        gossip.New(self),
		firstExpected: map[vocab.Incarnation]vocab.Instant{},
		diverged:      map[vocab.Incarnation]bool{},
	}
}

// gossipRound updates the view of the other processes and this node's own
// report, and sends gossip to the partners of the round. It does nothing until
// a round after the last one is due.
func (s *State) gossipRound() {
	if s.now.Sub(s.peers.lastRound) < membership.RoundInterval {
		return
	}
	s.peers.lastRound = s.now
	s.peers.round++
	s.updateView()
	s.peers.gossip.SetOwnReport(s.now, s.ownReport())
	partners := membership.Partners(s.otherProcesses(), uint64(s.self.Incarnation), s.peers.round)
	for _, id := range partners {
		s.sendGossip(id)
	}
}

// sendGossip sends gossip to a process if its address is known.
func (s *State) sendGossip(id vocab.Incarnation) {
	if address := s.addressOf(id); address != "" {
		s.emit(SendGossip{Address: address, Message: s.peers.gossip.Compose(s.now)})
	}
}

// broadcastGossip sends gossip to all other processes without waiting for the
// next round.
func (s *State) broadcastGossip() {
	for _, id := range s.otherProcesses() {
		s.sendGossip(id)
	}
}

// otherProcesses returns the members and the processes known from gossip,
// sorted, without this process and without removed ones.
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
		Node:           s.self.Node,
		Address:        s.self.PeerAddress,
		Folded:         s.Shared().Offset,
		Digest:         s.sharedDigest(),
		Settled:        settled,
		Confirmed:      confirmed,
		Silent:         s.peers.view.Silent,
		Revision:       s.Shared().Revision,
		Demand:         s.demandReport(),
		BusyUnreadyVMs: s.busyUnreadyVMs(),
	}
}

// sharedDigest returns the digest of the shared state. It is computed once per
// offset.
func (s *State) sharedDigest() uint64 {
	if at := s.Shared().Offset; at != s.peers.digestOffset {
		s.peers.digest, _ = strconv.ParseUint(s.Shared().Digest(), 16, 64)
		s.peers.digestOffset = at
	}
	return s.peers.digest
}

// demandReport returns this node's demand reports with the gossip indexes of
// pools and teams in place of their names.
func (s *State) demandReport() []gossip.Demand {
	reports := s.DemandReports()
	out := make([]gossip.Demand, 0, len(reports))
	for _, r := range reports {
		pool, poolKnown := s.indexes.pools[r.Pool]
		team, teamKnown := s.indexes.teams[r.Team]
		if !poolKnown || !teamKnown {
			continue
		}
		out = append(out, gossip.Demand{
			Pool:                     pool,
			Team:                     team,
			Slots:                    float32(r.Demand),
			AccumulatedServiceMillis: uint64(r.AccumulatedService.Milliseconds()),
		})
	}
	return out
}

// busyUnreadyVMs returns the VMs that are not ready but may still be
// running requests from this node.
func (s *State) busyUnreadyVMs() []vocab.VMID {
	var out []vocab.VMID
	for _, vm := range s.vms.All() {
		if vm.Phase != observe.PhaseReady && s.runningOnVM[vm.Name] > 0 {
			out = append(out, vm.Name)
		}
	}
	return out
}

// mergeGossip merges a gossip message from another process and applies what is
// new. New leaving VMs and withdrawn keys are spread at once.
func (s *State) mergeGossip(m gossip.Message) {
	updates := s.peers.gossip.Merge(s.now, m)
	for i := range updates.Reports {
		s.applyReport(&updates.Reports[i])
	}
	for _, l := range updates.Leaving {
		if s.vms.MarkLeaving(l.VM, l.Incarnation) {
			s.logEvent(LogEventVMLeaving, string(l.VM), "reported by another node")
		}
	}
	for _, key := range updates.Withdrawn {
		s.withdrawKey(key)
	}
	if len(updates.Leaving)+len(updates.Withdrawn) > 0 {
		s.broadcastGossip()
	}
}

func (s *State) applyReport(r *gossip.Report) {
	s.limits.OnSettled(s.now, r.Process, r.Settled, r.Confirmed)
	s.compareDigest(r)
	if s.Shared().Fleet == nil || r.Revision != s.Shared().Revision {
		return
	}
	for _, d := range r.Demand {
		s.applyDemand(r.Process, d)
	}
}

// applyDemand passes one demand of a report with the same configuration
// revision to the shares.
func (s *State) applyDemand(process vocab.Incarnation, d gossip.Demand) {
	fleet := s.Shared().Fleet
	if int(d.Pool) >= len(fleet.Pools) || int(d.Team) >= len(fleet.Teams) {
		return
	}
	s.observeDemand(share.DemandReport{
		Pool:               fleet.Pools[d.Pool].Name,
		Team:               fleet.Teams[d.Team].Name,
		Node:               process,
		Demand:             float64(d.Slots),
		AccumulatedService: millis(d.AccumulatedServiceMillis),
	})
}

// compareDigest logs an event, once per process, if another process folded the
// same records to a different state.
func (s *State) compareDigest(r *gossip.Report) {
	if r.Folded != s.Shared().Offset || r.Folded == 0 || r.Digest == s.sharedDigest() || s.peers.diverged[r.Process] {
		return
	}
	s.peers.diverged[r.Process] = true
	s.logEvent(LogEventStateDiverged, string(r.Node), "the shared states differ at offset "+strconv.FormatUint(uint64(r.Folded), 10))
}

// updateView updates the view of the other processes from their heartbeats.
func (s *State) updateView() {
	silentReports := s.silentReports()
	var others []membership.Process
	for _, id := range s.otherProcesses() {
		p := membership.Process{ID: id, Zone: s.Shared().Members[id].Zone, Reporters: silentReports[id]}
		_, p.LastHeartbeat, p.HeartbeatReceived = s.peers.gossip.Report(id)
		if !p.HeartbeatReceived {
			p.LastHeartbeat = s.expectedSince(id)
		}
		others = append(others, p)
	}
	before := s.peers.view
	s.peers.view = membership.Classify(s.now, others)
	s.limits.SetReachable(s.peers.view.Reachable)
	s.logViewChanges(before)
}

// silentReports returns, for each process, the number of other processes that
// report it as silent.
func (s *State) silentReports() map[vocab.Incarnation]int {
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
	at, ok := s.peers.firstExpected[id]
	if !ok {
		at = s.now
		s.peers.firstExpected[id] = at
	}
	return at
}

// logViewChanges logs the differences between the previous view and the current
// one: newly suspected processes, suspected ones that are reachable again, and
// lost zones.
func (s *State) logViewChanges(before membership.View) {
	for _, id := range s.peers.view.Suspected {
		if !slices.Contains(before.Suspected, id) {
			s.logEvent(LogEventNodeSuspected, string(s.nodeOf(id)), "several nodes received no new heartbeat from it")
		}
	}
	for _, id := range before.Suspected {
		if slices.Contains(s.peers.view.Reachable, id) {
			s.logEvent(LogEventNodeReachable, string(s.nodeOf(id)), "")
		}
	}
	for _, zone := range s.peers.view.LostZones {
		if !slices.Contains(before.LostZones, zone) {
			s.logEvent(LogEventZoneLost, string(zone), "all its entry nodes are silent")
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
