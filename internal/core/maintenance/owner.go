package maintenance

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Keys of records of which one may be under way at a time.
const (
	keyBegun = "begun"
	keyClaim = "claim"
)

// appendKey returns the key under which a record is not appended twice while
// the first copy may still be under way; empty for records that may.
func appendKey(body record.Body) string {
	switch b := body.(type) {
	case record.DisruptionsBegun:
		return keyBegun
	case record.MaintenanceClaimed:
		return keyClaim
	case record.VMJoinedPool:
		return "joined " + string(b.VM)
	case record.VMMaintained:
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

// keepOwnership sends heartbeats as the owner, or a claim if there is none.
func (c *Controller) keepOwnership(now vocab.Instant) []event.Effect {
	o := c.ledger.Owner
	if c.owns() {
		if number, due := c.lease.heartbeat(now); due {
			return c.append(now, record.MaintenanceHeld{Epoch: o.Epoch, Sequence: number})
		}
		return nil
	}
	if !c.lease.logUp || len(c.fleet.Pools) == 0 {
		return nil
	}
	if o.Epoch != 0 && !c.lease.lapsed(now) {
		return nil
	}
	return c.append(now, record.MaintenanceClaimed{
		Node: c.node, Incarnation: c.incarnation, Previous: o.Epoch, At: c.unix,
	})
}

// carryOut applies the plan and remembers what was sent.
func (c *Controller) carryOut(now vocab.Instant, s *Snapshot) []event.Effect {
	outcome := Apply(c.plan.Steps, s)
	c.refused = outcome.Refused
	for _, step := range outcome.Done {
		c.sent(now, step)
	}
	effects := outcome.Orders
	for _, body := range outcome.Bodies {
		effects = append(effects, c.append(now, body)...)
	}
	return effects
}

func (c *Controller) sent(now vocab.Instant, step Step) {
	switch step.Kind {
	case StepDrain:
		c.watch(step.VM).drain.send(now)
	case StepReboot:
		c.watch(step.VM).reboot.send(now)
	case StepAssign:
		w := c.watch(step.VM)
		if w.assignTo != step.To {
			w.assign, w.assignTo = sentOrder{}, step.To
		}
		w.assign.send(now)
	}
}

// append returns the effect that records the body, unless a copy of it may
// still be under way. A copy that arrives late after all is refused by the fold.
func (c *Controller) append(now vocab.Instant, body record.Body) []event.Effect {
	key := appendKey(body)
	if c.pending(now, key) {
		return nil
	}
	if key != "" {
		c.appends[key] = now
	}
	c.sequence++
	id := fmt.Sprintf("maintenance-%s-%x-%d", c.node, uint64(c.incarnation), c.sequence)
	return []event.Effect{AppendRecord{ID: vocab.RecordID(id), Body: body}}
}

func (c *Controller) pending(now vocab.Instant, key string) bool {
	at, ok := c.appends[key]
	return ok && now.Sub(at) < retryAfter
}
