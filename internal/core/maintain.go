package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// maintenanceInterval is the time between two steps of the maintenance
// controller.
const maintenanceInterval = time.Second

// stepMaintenance steps the controller of VM moves and maintenance at most once
// per interval, while this node is a member and not stopping.
func (s *State) stepMaintenance(unixSeconds int64) {
	if s.Shared().Fleet == nil || !s.isMember() || s.leaving {
		return
	}
	if s.now.Sub(s.lastMaintenance) < maintenanceInterval {
		return
	}
	s.lastMaintenance = s.now
	s.vms.ExpireLeavingReports(s.now)
	effects := s.maintenance.Step(s.now, maintenance.Tick{
		Unix:     unixSeconds,
		LogUp:    !s.logDown && !s.follower.CatchingUp() && !s.foldStopped,
		Demand:   s.poolDemand(),
		Idle:     s.idleVMs(),
		Suspects: s.suspectedNodes(),
	})
	for _, e := range effects {
		s.emit(toNodeEffect(e))
	}
}

// toNodeEffect converts the controller's append effects to appends to the fleet
// stream and returns its other effects unchanged.
func toNodeEffect(e event.Effect) event.Effect {
	if a, ok := e.(maintenance.AppendRecord); ok {
		return Append{Stream: shared.Stream, ID: a.ID, Body: a.Body, NoRetry: true}
	}
	return e
}

// poolDemand returns the demand for slots of each pool. It is the demand
// reported by the whole fleet, and at least the number of requests in this
// node's queue.
func (s *State) poolDemand() []maintenance.PoolDemand {
	out := make([]maintenance.PoolDemand, 0, len(s.queueIDs))
	for _, id := range s.queueIDs {
		q := s.queues[id]
		own, fleet := s.shares.Demand(q.pool.Name)
		slots := max(vocab.Slots(max(own, fleet)+0.5), vocab.Slots(q.waiting.Outstanding()))
		out = append(out, maintenance.PoolDemand{Pool: q.pool.Name, Slots: slots})
	}
	return out
}
