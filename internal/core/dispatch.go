package core

import (
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/routing"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// avoidAfterFailure is how long a VM is out of favour after a failed attempt.
const avoidAfterFailure = 2 * time.Second

// dispatch starts as many attempts as tokens and VMs allow.
func (s *State) dispatch(q *queue) {
	for q.waiting.Len() > 0 {
		candidates, vms := s.candidates(q)
		at, ok := routing.Choose(candidates, s.self.Zone, q.turn)
		if !ok {
			return
		}
		item, ok := q.waiting.Next(s.teamHasToken)
		if !ok {
			return
		}
		q.turn++
		s.start(s.requests[item.Request], vms[at])
	}
}

// candidates returns the ready VMs of the queue's pool.
func (s *State) candidates(q *queue) ([]routing.Candidate, []*observe.VM) {
	vms := s.vms.Ready(q.service.Pool)
	out := make([]routing.Candidate, len(vms))
	for i, vm := range vms {
		out[i] = routing.Candidate{
			VM:      vm.Name,
			Zone:    vm.Zone,
			Free:    s.limits.Free(s.now, vmAccount(vm)),
			Avoided: s.now < q.avoid[vm.Name],
		}
	}
	return out, vms
}

func (s *State) teamHasToken(team vocab.TeamID) bool {
	return team == "" || s.limits.Free(s.now, limit.TeamAccount(team)) > 0
}

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
	s.emit(Dispatch{
		Request:     r.id,
		Attempt:     a.id,
		VM:          vm.Name,
		Address:     vm.Address,
		Reuse:       r.idempotent && r.attempts == 1,
		FirstByte:   r.service.Limits.FirstByte.D(),
		Run:         r.service.Limits.Run.D(),
		Connections: max(1, r.queue.pool.Connections/max(1, len(s.Shared().Members))),
	})
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
	}
	if e.Silent {
		s.notice(NoticeVMSilent, string(a.vm), "a connection gave no sign of life")
	}
	if e.Result.Failed() {
		r.queue.avoid[a.vm] = s.now.Add(avoidAfterFailure)
	}
}

// vmAccount names the slots of one incarnation of a VM in one pool. What an
// earlier incarnation ran ended with it.
func vmAccount(vm *observe.VM) limit.Account {
	name := string(vm.Pool) + "/" + string(vm.Name) + "@" + strconv.FormatUint(uint64(vm.Incarnation), 10)
	return limit.VMAccount(vocab.VMID(name))
}
