package maintenance

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Keys of records of which only one may be in flight at a time.
const (
	keyDisruptions = "begun"
	keyClaim       = "claim"
)

// appendKey returns the key of a record that must not be appended again while
// its first copy may still be in flight; empty for a record without this limit.
func appendKey(body record.Body) string {
	switch b := body.(type) {
	case record.DisruptionsStarted:
		return keyDisruptions
	case record.MaintenanceClaimed:
		return keyClaim
	case record.VMJoinedPool:
		return "joined " + string(b.VM)
	case record.VMMaintenanceCompleted:
		return "done " + string(b.VM)
	case record.VMMaintenanceFailed:
		return "failed " + string(b.VM)
	case record.VMMaintenanceCancelled:
		return "cancelled " + string(b.VM)
	case record.WaveStarted, record.WavePaused:
		return "wave"
	default:
		return ""
	}
}

// keepOwnership sends heartbeats while this process is the owner, and claims
// the ownership when there is no owner or its lease has expired.
func (c *Controller) keepOwnership(now vocab.Instant) []event.Effect {
	o := c.ledger.Owner
	if c.isOwner() {
		if sequence, due := c.lease.nextHeartbeat(now); due {
			return c.append(now, record.MaintenanceHeartbeat{Epoch: o.Epoch, Sequence: sequence})
		}
		return nil
	}
	if !c.lease.logUp || len(c.fleet.Pools) == 0 {
		return nil
	}
	if o.Epoch != 0 && !c.lease.expired(now) {
		return nil
	}
	return c.append(now, record.MaintenanceClaimed{
		Node: c.node, Incarnation: c.incarnation, Previous: o.Epoch, UnixSeconds: c.unix,
	})
}

// execute applies the plan and records which orders were sent.
func (c *Controller) execute(now vocab.Instant, s *Snapshot) []event.Effect {
	outcome := Apply(c.plan.Steps, s)
	c.refused = outcome.Refused
	for _, step := range outcome.Applied {
		c.markSent(now, step)
	}
	effects := outcome.Orders
	for _, body := range outcome.Records {
		effects = append(effects, c.append(now, body)...)
	}
	return effects
}

func (c *Controller) markSent(now vocab.Instant, step Step) {
	switch step.Kind {
	case StepDrain:
		c.tracker(step.VM).drain.markSent(now)
	case StepReboot:
		c.tracker(step.VM).reboot.markSent(now)
	case StepAssign:
		t := c.tracker(step.VM)
		if t.assignTo != step.To {
			t.assign, t.assignTo = orderTracker{}, step.To
		}
		t.assign.markSent(now)
	}
}

// append returns the effect that appends the record, or none while a copy of it
// may still be in flight. If such a copy is delayed for longer, the fold refuses
// the second one, except that a second WavePaused pauses the wave again.
func (c *Controller) append(now vocab.Instant, body record.Body) []event.Effect {
	key := appendKey(body)
	if c.appendInFlight(now, key) {
		return nil
	}
	if key != "" {
		c.appendedAt[key] = now
	}
	c.recordSequence++
	id := fmt.Sprintf("maintenance-%s-%x-%d", c.node, uint64(c.incarnation), c.recordSequence)
	return []event.Effect{AppendRecord{ID: vocab.RecordID(id), Body: body}}
}

func (c *Controller) appendInFlight(now vocab.Instant, key string) bool {
	at, ok := c.appendedAt[key]
	return ok && now.Sub(at) < retryInterval
}
