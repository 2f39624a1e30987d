package task

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Each function applies one kind of record and returns the changed task, or
// nil if the record does not fit the task's state. A record that was applied
// once no longer fits, so duplicates change nothing.

func (l *Ledger) claim(b record.TaskOwnerClaimed) {
	if b.Shard != l.shard || b.Replaces != l.owner.Epoch {
		return
	}
	l.owner = Owner{Node: b.Node, Incarnation: b.Incarnation, Epoch: vocab.Epoch(l.offset)}
	l.ownerSign = l.offset
}

func (l *Ledger) accept(b record.TaskAccepted) *Task {
	if _, known := l.Resolve(b); known {
		return nil
	}
	t := &Task{TaskAccepted: b, Accepted: l.offset, Changed: l.offset, State: Waiting}
	l.tasks[b.Task] = t
	if b.IdempotencyKey != "" {
		l.byKey[callerKey{team: b.Team, key: b.IdempotencyKey}] = b.Task
	}
	return t
}

func (l *Ledger) cancel(b record.TasksCancelled) []*Task {
	var changed []*Task
	for _, id := range b.Tasks {
		t, ok := l.tasks[id]
		if !ok || t.State == Ended || t.Cancelled {
			continue
		}
		t.Cancelled = true
		t.Changed = l.offset
		if t.State != Started {
			l.endCancelled(t)
		}
		changed = append(changed, t)
	}
	return changed
}

func (l *Ledger) endCancelled(t *Task) {
	t.Result = record.TaskCancelledNotRun
	if t.MayHaveRun {
		t.Result = record.TaskCancelledStopped
	}
	l.finish(t)
}

func (l *Ledger) finish(t *Task) {
	t.State = Ended
	t.Changed = l.offset
	t.Body = nil
}

func (l *Ledger) intend(b record.TaskStartIntended) *Task {
	t, ok := l.tasks[b.Task]
	if !ok || t.State != Waiting || b.Attempt != t.Attempt+1 {
		return nil
	}
	t.State = Started
	t.Attempt = b.Attempt
	t.Epoch = b.Epoch
	t.Worker = b.Worker
	t.Incarnation = b.Incarnation
	t.Reserved = b.Size
	t.Changed = l.offset
	return t
}

// current returns the task if the attempt is its current one and not over.
func (l *Ledger) current(id vocab.TaskID, attempt record.Attempt) *Task {
	t, ok := l.tasks[id]
	if !ok || t.Attempt != attempt {
		return nil
	}
	if t.State != Started && t.State != NeedsPerson {
		return nil
	}
	return t
}

func (l *Ledger) lose(b record.TaskAttemptLost) *Task {
	t := l.current(b.Task, b.Attempt)
	if t == nil {
		return nil
	}
	t.Changed = l.offset
	t.noteLoss(b)
	switch {
	case t.Cancelled:
		l.endCancelled(t)
	case t.mayRunAgain(b.Reason):
		t.State = Waiting
	default:
		t.State = NeedsPerson
		t.Reason = "attempt " + string(b.Reason) + ", not idempotent"
	}
	return t
}

func (t *Task) noteLoss(b record.TaskAttemptLost) {
	t.MayHaveRun = t.MayHaveRun || b.Reason != record.LossNotStarted
	if b.Checkpoint != "" {
		t.Checkpoint = b.Checkpoint
	}
	switch b.Reason {
	case record.LossFailed, record.LossHung:
		t.Failures++
		if !slices.Contains(t.FailedOn, t.Worker) {
			t.FailedOn = append(t.FailedOn, t.Worker)
		}
	case record.LossOutOfMemory:
		t.OutOfMemory++
	}
}

func (t *Task) mayRunAgain(reason record.LossReason) bool {
	if t.Idempotent || reason == record.LossNotStarted {
		return true
	}
	return reason == record.LossCheckpointed && t.Checkpoints
}

func (l *Ledger) end(b record.TaskEnded) *Task {
	t := l.current(b.Task, b.Attempt)
	if t == nil {
		return nil
	}
	t.Result = b.Result
	t.Output = b.Output
	t.MayHaveRun = true
	l.finish(t)
	return t
}

func (l *Ledger) park(b record.TaskParked) *Task {
	t, ok := l.tasks[b.Task]
	if !ok || t.State != Waiting || b.Seen != t.Changed {
		return nil
	}
	t.State = Parked
	t.Reason = b.Reason
	t.Changed = l.offset
	return t
}

func (l *Ledger) unpark(b record.TaskUnparked) *Task {
	t, ok := l.tasks[b.Task]
	if !ok || t.State != Parked || b.Seen != t.Changed {
		return nil
	}
	t.State = Waiting
	t.Reason = ""
	t.Changed = l.offset
	return t
}

func (l *Ledger) needPerson(b record.TaskNeedsPerson) *Task {
	t := l.current(b.Task, b.Attempt)
	if t == nil || t.State == NeedsPerson {
		return nil
	}
	t.State = NeedsPerson
	t.MayHaveRun = true
	t.Reason = b.Reason
	t.Changed = l.offset
	return t
}

func (l *Ledger) forget(b record.TasksForgotten) []*Task {
	for _, id := range b.Tasks {
		t, ok := l.tasks[id]
		if !ok || t.State != Ended {
			continue
		}
		delete(l.tasks, id)
		key := callerKey{team: t.Team, key: t.IdempotencyKey}
		if l.byKey[key] == id {
			delete(l.byKey, key)
		}
	}
	return nil
}
