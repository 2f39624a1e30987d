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

// dispatch starts as many attempts as tokens and VMs allow.
func (s *State) dispatch(q *queue) {
	q.blocked = false
	for q.waiting.Len() > 0 {
		s.fillCandidates(q)
		at, ok := routing.Choose(q.candidates, s.self.Zone, 0)
		if !ok {
			q.blocked = true
			return
		}
		item, ok := s.next(q)
		if !ok {
			return
		}
		q.turn++
		s.start(s.requests[item.Request], q.chosen[at])
	}
}

// next takes out the request that goes next. Above the node's target only teams
// that use less than their share are served, so that slots stay free for nodes
// below theirs.
func (s *State) next(q *queue) (admission.Item, bool) {
	if vocab.Slots(q.waiting.RunningAll()) < q.most {
		return q.waiting.Next(s.now, s.teamHasToken)
	}
	item, ok := q.waiting.Next(s.now, func(team vocab.TeamID) bool {
		return !s.shares.HeldDown(q.pool.Name, team) && s.teamHasToken(team)
	})
	q.blocked = !ok
	return item, ok
}

// dispatchNew is dispatch after an arrival: if nothing could start for those
// that wait, a newcomer waits for the next end of an attempt or the next tick.
func (s *State) dispatchNew(q *queue) {
	if !q.blocked {
		s.dispatch(q)
	}
}

// The number of VMs with a free slot that one choice compares, of the node's
// own zone and of others.
const (
	nearSample = 4
	farSample  = 4
)

// server is a ready VM of a queue's pool with the names under which it is known
// elsewhere.
type server struct {
	vm      *observe.VM
	account limit.Account
	health  routing.Key
}

// fillCandidates lists some VMs with free slots, beginning at another place
// each time, so that all of a large pool are used alike.
func (s *State) fillCandidates(q *queue) {
	s.refreshServers(q)
	q.candidates = q.candidates[:0]
	q.chosen = q.chosen[:0]
	s.sample(q, q.near, nearSample)
	s.sample(q, q.far, farSample)
}

// refreshServers lists the pool's ready VMs anew if any VM has changed.
func (s *State) refreshServers(q *queue) {
	ready := s.vms.Ready(q.service.Pool)
	if q.generation == s.vms.Generation() && q.listed == q.service.Pool {
		return
	}
	q.generation = s.vms.Generation()
	q.listed = q.service.Pool
	q.near, q.far = q.near[:0], q.far[:0]
	for _, vm := range ready {
		sv := server{vm: vm, account: vmAccount(vm), health: healthKey(vm)}
		if vm.Zone == s.self.Zone {
			q.near = append(q.near, sv)
		} else {
			q.far = append(q.far, sv)
		}
	}
}

// sample adds servers with a free slot to the candidates until enough of them
// are in favour.
func (s *State) sample(q *queue, servers []server, enough int) {
	for i := range servers {
		sv := &servers[(q.turn+uint64(i))%uint64(len(servers))]
		free := s.limits.Free(s.now, sv.account)
		standing := q.health.Standing(s.now, sv.health)
		if standing.Bounded {
			free = min(free, standing.Room)
		}
		if free <= 0 {
			continue
		}
		q.chosen = append(q.chosen, sv)
		q.candidates = append(q.candidates, routing.Candidate{
			VM:      sv.vm.Name,
			Zone:    sv.vm.Zone,
			Free:    free,
			Load:    standing.Running,
			Slots:   q.pool.Slots,
			Avoided: standing.Avoided,
		})
		if !standing.Avoided {
			enough--
		}
		if enough == 0 {
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

// sendWithin is the longest time between a decision and the first byte of its
// attempt. It must stay below limit.DefaultGuard.
const sendWithin = limit.DefaultGuard / 2

// start takes the tokens of an attempt and sends it.
func (s *State) start(r *request, sv *server) {
	vm := sv.vm
	s.lastAttempt++
	a := &attempt{
		id:          s.lastAttempt,
		vm:          vm.Name,
		incarnation: vm.Incarnation,
		started:     s.now,
	}
	a.tokens = s.takeTokens(r, sv)
	r.running = a
	r.attempts++
	s.attempts[a.id] = r
	s.running[vm.Name]++
	r.queue.health.Started(s.now, sv.health)
	s.emit(Dispatch{
		Request:   r.id,
		Attempt:   a.id,
		Team:      r.team,
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

func (s *State) takeTokens(r *request, sv *server) []limit.Token {
	var tokens []limit.Token
	if t, ok := s.limits.Take(s.now, sv.account); ok {
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
