package task

import (
	"cmp"
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// pendingCall is a call of a caller that has not been answered yet.
type pendingCall struct {
	request  vocab.RequestID
	deadline vocab.Instant
	record   vocab.RecordID
	// sent means that the record may be on the stream.
	sent bool
	// submittedTask is the submitted task, or nil for a cancellation or a wait.
	submittedTask *record.TaskAccepted
	// cancellation lists the tasks to cancel.
	cancellation []vocab.TaskID
}

// pendingCalls holds the calls that have not been answered yet.
type pendingCalls struct {
	// byRecord holds the calls that submit or cancel tasks by the ID of their record,
	// until the record is read back.
	byRecord map[vocab.RecordID]*pendingCall
	// waiters holds the calls that wait for a task to end.
	waiters map[vocab.TaskID][]*pendingCall
}

func newPendingCalls() pendingCalls {
	return pendingCalls{
		byRecord: map[vocab.RecordID]*pendingCall{},
		waiters:  map[vocab.TaskID][]*pendingCall{},
	}
}

func (c *Controller) refuse(request vocab.RequestID, reason string) {
	c.emit(AnswerCaller{Request: request, Code: CallRefused, Outcome: vocab.OutcomeNotRun, Reason: reason})
}

// unavailableReason returns why no caller's record can be queued now, or "".
func (c *Controller) unavailableReason() string {
	switch {
	case !c.loader.CaughtUp():
		return "the task stream is not read yet"
	case c.log.failed:
		return "the log is down"
	case len(c.outbox.lanes[callerLane]) >= maxQueuedCalls:
		return "too much waits for the log"
	default:
		return ""
	}
}

func (c *Controller) onSubmitRequested(e SubmitRequested) {
	if c.loader.CaughtUp() {
		if t, ok := c.loader.ledger.Resolve(e.Task); ok {
			c.answerAccepted(e.Request, t)
			return
		}
	}
	if reason := c.unavailableReason(); reason != "" {
		c.refuse(e.Request, reason)
		return
	}
	id := c.queueRecord(callerLane, e.Task)
	c.pendingCalls.byRecord[id] = &pendingCall{request: e.Request, deadline: e.Deadline, record: id, submittedTask: &e.Task}
}

func (c *Controller) onCancelRequested(e CancelRequested) {
	if reason := c.unavailableReason(); reason != "" {
		c.refuse(e.Request, reason)
		return
	}
	id := c.queueRecord(callerLane, record.TasksCancelled{Tasks: e.Tasks})
	c.pendingCalls.byRecord[id] = &pendingCall{request: e.Request, deadline: e.Deadline, record: id, cancellation: e.Tasks}
}

func (c *Controller) onWaitRequested(e WaitRequested) {
	if !c.loader.CaughtUp() {
		c.refuse(e.Request, "the task stream is not read yet")
		return
	}
	t, ok := c.loader.ledger.Task(e.Task)
	if !ok {
		c.refuse(e.Request, "no such task")
		return
	}
	if t.State == Ended {
		c.answerEnded(e.Request, t)
		return
	}
	waiter := &pendingCall{request: e.Request, deadline: e.Deadline}
	c.pendingCalls.waiters[e.Task] = append(c.pendingCalls.waiters[e.Task], waiter)
}

// answerAffectedCalls answers the calls that waited for the folded record or for
// the end of a task that it ended.
func (c *Controller) answerAffectedCalls(change Change) {
	for _, t := range change.Tasks {
		if t.State != Ended {
			continue
		}
		for _, waiter := range c.pendingCalls.waiters[t.Task] {
			c.answerEnded(waiter.request, t)
		}
		delete(c.pendingCalls.waiters, t.Task)
	}
	call, ok := c.pendingCalls.byRecord[change.ID]
	if !ok {
		return
	}
	delete(c.pendingCalls.byRecord, change.ID)
	if call.submittedTask == nil {
		c.answerCancelled(call)
		return
	}
	if t, ok := c.loader.ledger.Resolve(*call.submittedTask); ok {
		c.answerAccepted(call.request, t)
	}
}

func (c *Controller) answerAccepted(request vocab.RequestID, t *Task) {
	c.emit(AnswerCaller{Request: request, Code: CallAccepted, Task: t.Task, Outcome: t.Outcome()})
}

func (c *Controller) answerEnded(request vocab.RequestID, t *Task) {
	c.emit(AnswerCaller{Request: request, Code: CallEnded, Task: t.Task, Outcome: t.Outcome()})
}

// Outcome returns whether the task ran to completion, did not run, or may have
// run.
func (t *Task) Outcome() vocab.Outcome {
	switch {
	case t.State == Ended && (t.Result == record.TaskSucceeded || t.Result == record.TaskFailed):
		return vocab.OutcomeCompleted
	case t.State == Started || t.MayHaveRun:
		return vocab.OutcomeUnknown
	default:
		return vocab.OutcomeNotRun
	}
}

func (c *Controller) answerCancelled(call *pendingCall) {
	answer := AnswerCaller{Request: call.request, Code: CallCancelled, Outcome: vocab.OutcomeNotRun}
	for _, id := range call.cancellation {
		t, ok := c.loader.ledger.Task(id)
		switch {
		case !ok:
			answer.NotFound++
		case t.Result == record.TaskCancelledNotRun:
			answer.NotRun++
		case t.State == Ended && t.Outcome() == vocab.OutcomeCompleted:
			answer.Completed++
		default:
			answer.Stopping++
		}
	}
	if answer.Completed > 0 {
		answer.Outcome = vocab.OutcomeCompleted
	}
	if answer.Stopping > 0 {
		answer.Outcome = vocab.OutcomeUnknown
	}
	c.emit(answer)
}

// markSent marks the calls whose records are about to be sent: from now on the
// records may be on the stream.
func (c *Controller) markSent(records []record.Envelope) {
	for _, e := range records {
		if call, ok := c.pendingCalls.byRecord[e.ID]; ok {
			call.sent = true
		}
	}
}

// refuseCall refuses the call of a record that is certainly not on the stream.
// It reports whether there was such a call.
func (c *Controller) refuseCall(id vocab.RecordID, reason string) bool {
	call, ok := c.pendingCalls.byRecord[id]
	if !ok {
		return false
	}
	delete(c.pendingCalls.byRecord, id)
	c.refuse(call.request, reason)
	return true
}

// refuseUnsent refuses all calls whose records are queued and were never sent.
func (c *Controller) refuseUnsent(reason string) {
	for _, e := range c.outbox.lanes[callerLane] {
		c.refuseCall(e.ID, reason)
	}
	c.outbox.lanes[callerLane] = nil
}

// expireCalls answers the calls that have reached their deadline: refused if the
// record was never sent, otherwise with an unknown outcome.
func (c *Controller) expireCalls() {
	var due []*pendingCall
	for _, call := range c.pendingCalls.byRecord {
		if !c.now.Before(call.deadline) {
			due = append(due, call)
		}
	}
	slices.SortFunc(due, func(a, b *pendingCall) int { return cmp.Compare(a.request, b.request) })
	for _, call := range due {
		delete(c.pendingCalls.byRecord, call.record)
		if !call.sent && c.outbox.removeQueued(callerLane, call.record) {
			c.refuse(call.request, "the log took too long")
			continue
		}
		c.answerUnknown(call)
	}
	c.expireWaiters()
}

func (c *Controller) answerUnknown(call *pendingCall) {
	c.emit(AnswerCaller{Request: call.request, Code: CallUnknown, Outcome: vocab.OutcomeUnknown, Task: call.taskID()})
}

func (call *pendingCall) taskID() vocab.TaskID {
	if call.submittedTask == nil {
		return ""
	}
	return call.submittedTask.Task
}

func (c *Controller) expireWaiters() {
	var due []*pendingCall
	for id, list := range c.pendingCalls.waiters {
		rest := list[:0]
		for _, waiter := range list {
			if c.now.Before(waiter.deadline) {
				rest = append(rest, waiter)
			} else {
				due = append(due, waiter)
			}
		}
		c.pendingCalls.waiters[id] = rest
		if len(rest) == 0 {
			delete(c.pendingCalls.waiters, id)
		}
	}
	slices.SortFunc(due, func(a, b *pendingCall) int { return cmp.Compare(a.request, b.request) })
	for _, waiter := range due {
		c.emit(AnswerCaller{Request: waiter.request, Code: CallPending})
	}
}

// refuseAfterFailure refuses new calls after a fatal error, and answers pending
// calls at their deadlines.
func (c *Controller) refuseAfterFailure(e event.Event) {
	switch e := e.(type) {
	case SubmitRequested:
		c.refuse(e.Request, c.fatalErr.Error())
	case CancelRequested:
		c.refuse(e.Request, c.fatalErr.Error())
	case WaitRequested:
		c.refuse(e.Request, c.fatalErr.Error())
	case Tick:
		c.expireCalls()
	}
}
