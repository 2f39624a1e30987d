package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// upkeepInterval is the time between two looks at moves and maintenance.
const upkeepInterval = time.Second

// maintain lets moves and maintenance go on.
func (s *State) maintain(unix int64) {
	if s.Shared().Fleet == nil || !s.isMember() || s.leaving {
		return
	}
	if s.now.Sub(s.upkeepAt) < upkeepInterval {
		return
	}
	s.upkeepAt = s.now
	s.vms.DropOldSigns(s.now)
	effects := s.upkeep.Step(s.now, maintenance.Tick{
		Unix:     unix,
		LogUp:    !s.logDown && !s.fleet.Searching() && !s.foldStopped,
		Demand:   s.poolDemand(),
		Idle:     s.idleVMs(),
		Suspects: s.suspects(),
	})
	for _, e := range effects {
		s.emit(translate(e))
	}
}

// translate turns the controller's own kind of append into the node's.
func translate(e event.Effect) event.Effect {
	if a, ok := e.(maintenance.AppendRecord); ok {
		return Append{Stream: shared.Stream, ID: a.ID, Body: a.Body, Once: true}
	}
	return e
}

// poolDemand returns the demand on each pool over the whole fleet.
func (s *State) poolDemand() []maintenance.PoolDemand {
	out := make([]maintenance.PoolDemand, 0, len(s.names))
	for _, id := range s.names {
		q := s.queues[id]
		own, fleet := s.shares.Demand(q.pool.Name)
		slots := max(vocab.Slots(max(own, fleet)+0.5), vocab.Slots(q.waiting.Present()))
		out = append(out, maintenance.PoolDemand{Pool: q.pool.Name, Slots: slots})
	}
	return out
}
