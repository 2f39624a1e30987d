package task

import (
	"cmp"
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// call is a caller that waits for an answer.
type call struct {
	request  vocab.RequestID
	deadline vocab.Instant
	record   vocab.RecordID
	// sent means that the record may be on the stream.
	sent   bool
	accept *record.TaskAccepted
	cancel []vocab.TaskID
}

type calls struct {
	// byRecord has the calls that wait for their record.
	byRecord map[vocab.RecordID]*call
	// waits has the callers that wait for a task's end.
	waits map[vocab.TaskID][]*call
}

func newCalls() calls {
	return calls{
		byRecord: map[vocab.RecordID]*call{},
		waits:    map[vocab.TaskID][]*call{},
	}
}

func (c *Controller) refuse(request vocab.RequestID, reason string) {
	c.emit(AnswerCaller{Request: request, Code: CallRefused, Outcome: vocab.OutcomeNotRun, Reason: reason})
}

// unavailable returns why nothing can be appended now, or "".
func (c *Controller) unavailable() string {
	switch {
	case !c.loader.Done():
		return "the task stream is not read yet"
	case c.log.failed:
		return "the log is down"
	case len(c.out.lanes[callerLane]) >= maxPendingAccepts:
		return "too much waits for the log"
	default:
		return ""
	}
}

func (c *Controller) submitted(e Submitted) {
	if c.loader.Done() {
		if t, ok := c.loader.ledger.Resolve(e.Task); ok {
			c.answerAccepted(e.Request, t)
			return
		}
	}
	if reason := c.unavailable(); reason != "" {
		c.refuse(e.Request, reason)
		return
	}
	id := c.add(callerLane, e.Task)
	c.calls.byRecord[id] = &call{request: e.Request, deadline: e.Deadline, record: id, accept: &e.Task}
}

func (c *Controller) cancelRequested(e CancelRequested) {
	if reason := c.unavailable(); reason != "" {
		c.refuse(e.Request, reason)
		return
	}
	id := c.add(callerLane, record.TasksCancelled{Tasks: e.Tasks})
	c.calls.byRecord[id] = &call{request: e.Request, deadline: e.Deadline, record: id, cancel: e.Tasks}
}

func (c *Controller) waitRequested(e WaitRequested) {
	if !c.loader.Done() {
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
	w := &call{request: e.Request, deadline: e.Deadline}
	c.calls.waits[e.Task] = append(c.calls.waits[e.Task], w)
}

// answerChange answers the callers for whom a record was awaited.
func (c *Controller) answerChange(change Change) {
	for _, t := range change.Tasks {
		if t.State != Ended {
			continue
		}
		for _, w := range c.calls.waits[t.Task] {
			c.answerEnded(w.request, t)
		}
		delete(c.calls.waits, t.Task)
	}
	k, ok := c.calls.byRecord[change.ID]
	if !ok {
		return
	}
	delete(c.calls.byRecord, change.ID)
	if k.accept == nil {
		c.answerCancelled(k)
		return
	}
	if t, ok := c.loader.ledger.Resolve(*k.accept); ok {
		c.answerAccepted(k.request, t)
	}
}

func (c *Controller) answerAccepted(request vocab.RequestID, t *Task) {
	c.emit(AnswerCaller{Request: request, Code: CallAccepted, Task: t.Task, Outcome: t.Outcome()})
}

func (c *Controller) answerEnded(request vocab.RequestID, t *Task) {
	c.emit(AnswerCaller{Request: request, Code: CallEnded, Task: t.Task, Outcome: t.Outcome()})
}

// Outcome tells what became of the task so far.
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

func (c *Controller) answerCancelled(k *call) {
	answer := AnswerCaller{Request: k.request, Code: CallCancelled, Outcome: vocab.OutcomeNotRun}
	for _, id := range k.cancel {
		t, ok := c.loader.ledger.Task(id)
		switch {
		case !ok:
			answer.NotKnown++
		case t.Result == record.TaskCancelledNotRun:
			answer.NotRun++
		case t.State == Ended && t.Outcome() == vocab.OutcomeCompleted:
			answer.Over++
		default:
			answer.Stopping++
		}
	}
	if answer.Over > 0 {
		answer.Outcome = vocab.OutcomeCompleted
	}
	if answer.Stopping > 0 {
		answer.Outcome = vocab.OutcomeUnknown
	}
	c.emit(answer)
}

// markSent notes the calls whose records may from now on be on the stream.
func (c *Controller) markSent(records []record.Envelope) {
	for _, e := range records {
		if k, ok := c.calls.byRecord[e.ID]; ok {
			k.sent = true
		}
	}
}

// refuseRecord answers the call whose record is certainly not on the stream.
func (c *Controller) refuseRecord(id vocab.RecordID, reason string) bool {
	k, ok := c.calls.byRecord[id]
	if !ok {
		return false
	}
	delete(c.calls.byRecord, id)
	c.refuse(k.request, reason)
	return true
}

// refusePending answers all calls whose records were not sent.
func (c *Controller) refusePending(reason string) {
	for _, e := range c.out.lanes[callerLane] {
		c.refuseRecord(e.ID, reason)
	}
	c.out.lanes[callerLane] = nil
}

// expireCalls answers the calls whose deadline has come.
func (c *Controller) expireCalls() {
	var due []*call
	for _, k := range c.calls.byRecord {
		if !c.now.Before(k.deadline) {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b *call) int { return cmp.Compare(a.request, b.request) })
	for _, k := range due {
		delete(c.calls.byRecord, k.record)
		if !k.sent && c.out.withdraw(callerLane, k.record) {
			c.refuse(k.request, "the log took too long")
			continue
		}
		c.answerUnknown(k)
	}
	c.expireWaits()
}

func (c *Controller) answerUnknown(k *call) {
	c.emit(AnswerCaller{Request: k.request, Code: CallUnknown, Outcome: vocab.OutcomeUnknown, Task: k.task()})
}

func (k *call) task() vocab.TaskID {
	if k.accept == nil {
		return ""
	}
	return k.accept.Task
}

func (c *Controller) expireWaits() {
	var due []*call
	for id, list := range c.calls.waits {
		rest := list[:0]
		for _, w := range list {
			if c.now.Before(w.deadline) {
				rest = append(rest, w)
			} else {
				due = append(due, w)
			}
		}
		c.calls.waits[id] = rest
		if len(rest) == 0 {
			delete(c.calls.waits, id)
		}
	}
	slices.SortFunc(due, func(a, b *call) int { return cmp.Compare(a.request, b.request) })
	for _, w := range due {
		c.emit(AnswerCaller{Request: w.request, Code: CallPending})
	}
}

// refuseBroken answers callers after the controller gave up.
func (c *Controller) refuseBroken(e event.Event) {
	switch e := e.(type) {
	case Submitted:
		c.refuse(e.Request, c.broken.Error())
	case CancelRequested:
		c.refuse(e.Request, c.broken.Error())
	case WaitRequested:
		c.refuse(e.Request, c.broken.Error())
	case Tick:
		c.expireCalls()
	}
}
