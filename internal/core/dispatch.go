package core

import (
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/routing"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// dispatch starts as many attempts as tokens and VMs allow.
func (s *State) dispatch(q *queue) {
	for q.waiting.Len() > 0 {
		s.fillCandidates(q)
		at, ok := routing.Choose(q.candidates, s.self.Zone, q.turn)
		if !ok {
			return
		}
		item, ok := q.waiting.Next(s.now, s.teamHasToken)
		if !ok {
			return
		}
		q.turn++
		s.start(s.requests[item.Request], q.candidateVMs[at])
	}
}

// mostAccounts bounds the account names kept for one queue.
const mostAccounts = 1024

// fillCandidates lists the ready VMs of the queue's pool.
func (s *State) fillCandidates(q *queue) {
	q.candidates = q.candidates[:0]
	q.candidateVMs = s.vms.Ready(q.service.Pool)
	if len(q.accounts) > mostAccounts {
		clear(q.accounts)
	}
	for _, vm := range q.candidateVMs {
		standing := q.health.Standing(s.now, healthKey(vm))
		free := s.limits.Free(s.now, q.account(vm))
		if standing.Bounded {
			free = min(free, standing.Room)
		}
		q.candidates = append(q.candidates, routing.Candidate{
			VM:      vm.Name,
			Zone:    vm.Zone,
			Free:    free,
			Load:    standing.Running,
			Slots:   q.pool.Slots,
			Avoided: standing.Avoided,
		})
	}
}

func healthKey(vm *observe.VM) routing.Key {
	return routing.Key{VM: vm.Name, Incarnation: vm.Incarnation}
}

// account returns vmAccount without building its name each time.
func (q *queue) account(vm *observe.VM) limit.Account {
	key := healthKey(vm)
	a, ok := q.accounts[key]
	if !ok {
		a = vmAccount(vm)
		q.accounts[key] = a
	}
	return a
}

func (s *State) teamHasToken(team vocab.TeamID) bool {
	return team == "" || s.limits.Free(s.now, limit.TeamAccount(team)) > 0
}

// sendWithin is the longest time between a decision and the first byte of its
// attempt. It must stay below limit.DefaultGuard.
const sendWithin = limit.DefaultGuard / 2

// start takes the tokens of an attempt and sends it.
func (s *State) start(r *request, vm *observe.VM) {
	s.lastAttempt++
	a := &attempt{
		id:          s.lastAttempt,
		vm:          vm.Name,
		incarnation: vm.Incarnation,
		started:     s.now,
	}
	a.tokens = s.takeTokens(r, vm)
	r.running = a
	r.attempts++
	s.attempts[a.id] = r
	s.running[vm.Name]++
	r.queue.health.Started(s.now, healthKey(vm))
	s.emit(Dispatch{
		Request:   r.id,
		Attempt:   a.id,
		VM:        vm.Name,
		Address:   vm.Address,
		Reuse:     r.idempotent && r.attempts == 1,
		SendBy:    s.now.Add(sendWithin),
		FirstByte: r.service.Limits.FirstByte.D(),
		Run:       r.service.Limits.Run.D(),

		IdleConnections: s.idleConnections(&r.queue.pool),
	})
}

// idleConnections divides the connections that a VM accepts beyond its slots
// among the members.
func (s *State) idleConnections(pool *spec.Pool) int {
	spare := pool.Connections - int(pool.Slots)
	return max(0, spare/max(1, len(s.Shared().Members)))
}

func (s *State) takeTokens(r *request, vm *observe.VM) []limit.Token {
	var tokens []limit.Token
	if t, ok := s.limits.Take(s.now, vmAccount(vm)); ok {
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

// learn takes from an attempt's end what it says about the VM.
func (s *State) learn(r *request, a *attempt, e AttemptEnded) {
	if e.Draining && s.vms.MarkLeaving(a.vm, a.incarnation) {
		s.notice(NoticeVMLeaving, string(a.vm), "the upstream said that it is leaving")
		s.peers.gossip.AddLeaving(s.now, gossip.Leaving{VM: a.vm, Incarnation: a.incarnation})
		s.pushGossip()
	}
	if e.Silent {
		s.notice(NoticeVMSilent, string(a.vm), "a connection gave no sign of life")
	}
	key := routing.Key{VM: a.vm, Incarnation: a.incarnation}
	r.queue.health.Ended(s.now, key, e.Result.Failed(), r.queue.pool.Slots)
}

// vmAccount names the slots of a VM in one pool. Successive incarnations share
// it: work sent before a restart was seen may run on the later incarnation.
func vmAccount(vm *observe.VM) limit.Account {
	return limit.VMAccount(vocab.VMID(string(vm.Pool) + "/" + string(vm.Name)))
}
