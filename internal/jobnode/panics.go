package jobnode

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/job"
)

// A panic, on a malformed message say, must not end the process and with it all its calls
// and orders. A call to the platform that panics counts as a call whose outcome is unknown.
// After a panic of the reducer the node continues as a new incarnation, which reads the
// stream again.

// errPanicked is the error of a call to the platform that panicked.
var errPanicked = errors.New("internal error")

// followRestartDelay is the delay before a follower that panicked is started again.
const followRestartDelay = time.Second

// guard calls do and reports whether it panicked. It logs the panic.
func (n *Node) guard(during string, do func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			n.log.Write(job.LogEvent{ID: job.LogInternalError, Fields: []any{
				"during", during, "error", fmt.Sprint(cause), "stack", string(debug.Stack()),
			}})
		}
	}()
	do()
	return false
}

// background makes a call beside the loop and posts the resulting event, or onPanic if the
// call panics.
func (n *Node) background(onPanic event.Event, call func() event.Event) {
	go func() {
		var result event.Event
		if n.guard(fmt.Sprintf("a call that results in %T", onPanic), func() { result = call() }) {
			result = onPanic
		}
		if result != nil {
			n.post(result)
		}
	}()
}

// follow calls a function that returns once ctx ends, and again if it panics.
func (n *Node) follow(ctx context.Context, follow func()) {
	for n.guard("a follower", follow) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(followRestartDelay):
		}
	}
}

// stepState passes an event to the reducer. If that panics, the state may be inconsistent
// and is replaced by that of a new incarnation.
func (n *Node) stepState(ev event.Event) []event.Effect {
	clock := job.Clock{Now: Now(), Wall: job.Millis(time.Now().UnixMilli())}
	var effects []event.Effect
	if n.guard(fmt.Sprintf("%T", ev), func() { effects = n.state.Step(clock, ev) }) {
		n.state, effects = n.state.Restart(clock, ev)
	}
	return effects
}
