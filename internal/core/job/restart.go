package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
)

// restartDelay is the delay before a state that replaces one that panicked reads the
// stream. It bounds the load on the store if the cause is a record on the stream.
const restartDelay = time.Second

// Restart returns the state of a new incarnation on the same node, and its first effects,
// after processing an event has panicked. The new state has only what does not depend on
// earlier events but the configuration and the operators' requests. The caller of the event's call gets a reply.
func (s *State) Restart(clock Clock, ev event.Event) (*State, []event.Effect) {
	self := s.self
	self.Incarnation++
	next := New(self, s.settings)
	next.now, next.wall = max(s.now, clock.Now), clock.Wall
	next.config, next.shownConfigVersion, next.stopping, next.evacuations = s.config, s.shownConfigVersion, s.stopping, s.evacuations
	// Responses to appends of the earlier state must not be taken for responses to its own.
	next.lastAppendID = s.lastAppendID
	for number, ws := range s.waves {
		if len(ws.wave.Machines) > 0 {
			next.ensureWave(number).wave = ws.wave
			next.waves[number].receivedAt = ws.receivedAt
		}
	}
	next.stream.nextReadAt = next.now.Add(restartDelay)
	next.emit(FollowWorkers{On: false})
	if s.owner != nil {
		next.emit(WithdrawOrders{Fence: s.owner.fence})
	}
	if call, found := callOf(ev); found {
		next.reply(Reply{Call: call, Answer: Unclear, Detail: "internal error"})
	}
	return next, next.effects
}

// callOf returns the ID of the call of an event, if the event is a call.
func callOf(ev event.Event) (CallID, bool) {
	switch e := ev.(type) {
	case Submit:
		return e.Call, true
	case Query:
		return e.Call, true
	case Cancel:
		return e.Call, true
	case Backlog:
		return e.Call, true
	default:
		return 0, false
	}
}
