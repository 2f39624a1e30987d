package core

import (
	"github.com/sardinehead/sardinehead/internal/core/admission"
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/routing"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// dispatch starts attempts for waiting requests until no VM has a free slot or
// no waiting team is eligible.
func (s *State) dispatch(q *queue) {
	q.blocked = false
	for q.waiting.Len() > 0 {
		s.selectCandidates(q)
		chosen, ok := routing.Choose(q.candidates, s.self.Zone, 0)
		if !ok {
			q.blocked = true
			return
		}
		item, ok := s.takeNext(q)
		if !ok {
			return
		}
		q.rotation++
		s.startAttempt(s.requests[item.Request], q.candidateVMs[chosen])
	}
}

// takeNext removes the next request from the queue and returns it. At or above
// the node's target it serves only teams below their share, which leaves slots
// to nodes that are below their target.
func (s *State) takeNext(q *queue) (admission.Item, bool) {
	if vocab.Slots(q.waiting.RunningTotal()) < q.runningTarget {
		return q.waiting.Next(s.now, s.teamHasToken)
	}
	item, ok := q.waiting.Next(s.now, func(team vocab.TeamID) bool {
		return !s.shares.Constrained(q.pool.Name, team) && s.teamHasToken(team)
	})
	q.blocked = !ok
	return item, ok
}

// dispatchAfterArrival dispatches after a request arrived. If the queue is
// blocked, it does nothing: the request waits until an attempt ends or the next
// tick.
func (s *State) dispatchAfterArrival(q *queue) {
	if !q.blocked {
		s.dispatch(q)
	}
}

// Numbers of VMs with a free slot that are compared for one attempt, from the
// node's own zone and from the other zones.
const (
	sameZoneSample   = 4
	otherZonesSample = 4
)

// readyVM is a ready VM of a queue's pool with its limit account and its key in
// the health records.
type readyVM struct {
	vm        *observe.VM
	account   limit.Account
	healthKey routing.Key
}

// selectCandidates selects a sample of VMs with free slots. Successive samples
// start at different VMs, so that a large pool is loaded evenly.
func (s *State) selectCandidates(q *queue) {
	s.refreshReadyVMs(q)
	q.candidates = q.candidates[:0]
	q.candidateVMs = q.candidateVMs[:0]
	s.appendCandidates(q, q.sameZone, sameZoneSample)
	s.appendCandidates(q, q.otherZones, otherZonesSample)
}

// refreshReadyVMs rebuilds the queue's cache of ready VMs if any VM or the
// queue's pool has changed.
func (s *State) refreshReadyVMs(q *queue) {
	ready := s.vms.Ready(q.service.Pool)
	if q.vmGeneration == s.vms.Generation() && q.cachedPool == q.service.Pool {
		return
	}
	q.vmGeneration = s.vms.Generation()
	q.cachedPool = q.service.Pool
	q.sameZone, q.otherZones = q.sameZone[:0], q.otherZones[:0]
	for _, vm := range ready {
		target := readyVM{vm: vm, account: vmAccount(vm), healthKey: healthKey(vm)}
		if vm.Zone == s.self.Zone {
			q.sameZone = append(q.sameZone, target)
		} else {
			q.otherZones = append(q.otherZones, target)
		}
	}
}

// appendCandidates appends VMs with a free slot to the candidates, until enough
// of those added are not avoided.
func (s *State) appendCandidates(q *queue, readyVMs []readyVM, needed int) {
	for i := range readyVMs {
		target := &readyVMs[(q.rotation+uint64(i))%uint64(len(readyVMs))]
		free := s.limits.Free(s.now, target.account)
		status := q.health.Status(s.now, target.healthKey)
		if status.Bounded {
			free = min(free, status.FreeCapacity)
		}
		if free <= 0 {
			continue
		}
		q.candidateVMs = append(q.candidateVMs, target)
		q.candidates = append(q.candidates, routing.Candidate{
			VM:      target.vm.Name,
			Zone:    target.vm.Zone,
			Free:    free,
			Load:    status.Running,
			Slots:   q.pool.Slots,
			Avoided: status.Avoided,
		})
		if !status.Avoided {
			needed--
		}
		if needed == 0 {
			return
		}
	}
}

func healthKey(vm *observe.VM) routing.Key {
	return routing.Key{VM: vm.Name, Incarnation: vm.Incarnation}
}

func (s *State) teamHasToken(team vocab.TeamID) bool {
	return team == "" || s.limits.Free(s.now, limit.TeamAccount(team)) > 0
}

// maxSendDelay is the maximum time between the decision to start an attempt and
// its first byte. It must be less than limit.DefaultGuard.
const maxSendDelay = limit.DefaultGuard / 2

// startAttempt takes the tokens for an attempt and dispatches it to the VM.
func (s *State) startAttempt(r *request, target *readyVM) {
	vm := target.vm
	s.lastAttemptID++
	a := &attempt{
		id:          s.lastAttemptID,
		vm:          vm.Name,
		incarnation: vm.Incarnation,
		startedAt:   s.now,
	}
	a.tokens = s.takeTokens(r, target)
	r.activeAttempt = a
	r.attemptCount++
	s.requestsByAttempt[a.id] = r
	s.runningOnVM[vm.Name]++
	r.queue.health.Started(s.now, target.healthKey)
	s.emit(Dispatch{
		Request:   r.id,
		Attempt:   a.id,
		Team:      r.team,
		VM:        vm.Name,
		Address:   vm.Address,
		Reuse:     r.idempotent && r.attemptCount == 1,
		SendBy:    s.now.Add(maxSendDelay),
		FirstByte: r.service.TimeLimits.FirstByte.D(),
		Run:       r.service.TimeLimits.Run.D(),

		IdleConnections: s.idleConnectionQuota(&r.queue.pool),
	})
}

// idleConnectionQuota returns this node's quota of idle connections to a VM of
// the pool. The connections that a VM accepts beyond its slots are divided
// among the members.
func (s *State) idleConnectionQuota(pool *spec.Pool) int {
	beyondSlots := pool.MaxConnections - int(pool.Slots)
	return max(0, beyondSlots/max(1, len(s.Shared().Members)))
}

func (s *State) takeTokens(r *request, target *readyVM) []limit.Token {
	var tokens []limit.Token
	if t, ok := s.limits.Take(s.now, target.account); ok {
		tokens = append(tokens, t)
	}
	if r.team == "" {
		return tokens
	}
	if t, ok := s.limits.Take(s.now, limit.TeamAccount(r.team)); ok {
		tokens = append(tokens, t)
	}
	return tokens
}

// observeAttemptEnd updates what is known about the VM from the end of an
// attempt. A VM that reports that it is leaving is announced to the other nodes
// by gossip.
func (s *State) observeAttemptEnd(r *request, a *attempt, e AttemptEnded) {
	if e.Draining && s.vms.MarkLeaving(a.vm, a.incarnation) {
		s.logEvent(LogEventVMLeaving, string(a.vm), "reported by the upstream")
		s.peers.gossip.AddLeaving(s.now, gossip.Leaving{VM: a.vm, Incarnation: a.incarnation})
		s.broadcastGossip()
	}
	if e.FirstByteTimedOut {
		s.logEvent(LogEventVMSilent, string(a.vm), "a connection received no response in time")
	}
	key := routing.Key{VM: a.vm, Incarnation: a.incarnation}
	r.queue.health.Ended(s.now, key, e.Result.Failed(), r.queue.pool.Slots)
}

// vmAccount returns the limit account for the slots of a VM in its pool. All
// incarnations of the VM share the account: work sent before a restart was
// observed may run on the later incarnation.
func vmAccount(vm *observe.VM) limit.Account {
	return limit.VMAccount(vocab.VMID(string(vm.Pool) + "/" + string(vm.Name)))
}
