package task

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Each function in this file applies one kind of record and returns the changed
// tasks. A record that is not valid in the task's current state changes nothing.
// Applying a record makes it invalid for the new state, so duplicates change
// nothing.

func (l *Ledger) claim(b record.TaskOwnerClaimed) {
	if b.Shard != l.shard || b.Replaces != l.owner.Epoch {
		return
	}
	l.owner = Owner{Node: b.Node, Incarnation: b.Incarnation, Epoch: vocab.Epoch(l.offset)}
	l.ownerHeartbeat = l.offset
}

func (l *Ledger) accept(b record.TaskAccepted) *Task {
	if _, known := l.Resolve(b); known {
		return nil
	}
	t := &Task{TaskAccepted: b, Accepted: l.offset, Changed: l.offset, State: Waiting}
	l.tasks[b.Task] = t
	if b.IdempotencyKey != "" {
		l.byIdempotencyKey[idempotencyKey{team: b.Team, key: b.IdempotencyKey}] = b.Task
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
	l.markEnded(t)
}

func (l *Ledger) markEnded(t *Task) {
	t.State = Ended
	t.Changed = l.offset
	t.Body = nil
}

func (l *Ledger) intendStart(b record.TaskStartIntended) *Task {
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

// currentAttempt returns the task if attempt is its current attempt and the
// ledger has no end of it, otherwise nil.
func (l *Ledger) currentAttempt(id vocab.TaskID, attempt record.Attempt) *Task {
	t, ok := l.tasks[id]
	if !ok || t.Attempt != attempt {
		return nil
	}
	if t.State != Started && t.State != NeedsOperator {
		return nil
	}
	return t
}

func (l *Ledger) loseAttempt(b record.TaskAttemptLost) *Task {
	t := l.currentAttempt(b.Task, b.Attempt)
	if t == nil {
		return nil
	}
	t.Changed = l.offset
	t.recordLoss(b)
	switch {
	case t.Cancelled:
		l.endCancelled(t)
	case t.mayRetry(b.Reason):
		t.State = Waiting
	default:
		t.State = NeedsOperator
		t.Reason = "attempt " + string(b.Reason) + ", not idempotent"
	}
	return t
}

func (t *Task) recordLoss(b record.TaskAttemptLost) {
	t.MayHaveRun = t.MayHaveRun || b.Reason != record.LossNotStarted
	if b.Checkpoint != "" {
		t.Checkpoint = b.Checkpoint
	}
	switch b.Reason {
	case record.LossFailed, record.LossHung:
		t.forgetCrashes()
		t.Failures++
		t.FailureEvidence += b.Evidence
		if !slices.Contains(t.FailedOn, t.Worker) {
			t.FailedOn = append(t.FailedOn, t.Worker)
		}
	case record.LossOutOfMemory:
		t.forgetCrashes()
		t.OutOfMemory++
	case record.LossCheckpointed, record.LossStopped:
		t.forgetCrashes()
	case record.LossWorkerCrashed, record.LossWorkerCrashSuspected:
		t.recordCrash(b)
	}
}

// recordCrash counts the end of a worker incarnation with an attempt of the task on it.
func (t *Task) recordCrash(b record.TaskAttemptLost) {
	if b.RanLong {
		t.forgetCrashes()
		return
	}
	t.Crashes++
	t.CrashEvidence += b.Evidence
	if b.Reason == record.LossWorkerCrashSuspected {
		t.SuspectedCrashes++
		t.SuspectedEvidence += b.Evidence
	}
}

// forgetCrashes forgets what the crashes of workers say about the task: evidence multiplies over
// successive crashes only.
func (t *Task) forgetCrashes() {
	t.Crashes, t.SuspectedCrashes = 0, 0
	t.CrashEvidence, t.SuspectedEvidence = 0, 0
}

func (t *Task) mayRetry(reason record.LossReason) bool {
	if t.Idempotent || reason == record.LossNotStarted {
		return true
	}
	return reason == record.LossCheckpointed && t.Checkpoints
}

func (l *Ledger) endTask(b record.TaskFinished) *Task {
	t := l.currentAttempt(b.Task, b.Attempt)
	if t == nil {
		return nil
	}
	t.Result = b.Result
	t.Output = b.Output
	t.MayHaveRun = true
	l.markEnded(t)
	return t
}

func (l *Ledger) park(b record.TaskParked) *Task {
	t, ok := l.tasks[b.Task]
	if !ok || t.State != Waiting || b.LastChange != t.Changed {
		return nil
	}
	t.State = Parked
	t.Reason = b.Reason
	t.Changed = l.offset
	return t
}

func (l *Ledger) unpark(b record.TaskUnparked) *Task {
	t, ok := l.tasks[b.Task]
	if !ok || t.State != Parked || b.LastChange != t.Changed {
		return nil
	}
	t.State = Waiting
	t.Reason = ""
	t.Changed = l.offset
	return t
}

func (l *Ledger) needOperator(b record.TaskNeedsOperator) *Task {
	t := l.currentAttempt(b.Task, b.Attempt)
	if t == nil || t.State == NeedsOperator {
		return nil
	}
	t.State = NeedsOperator
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
		key := idempotencyKey{team: t.Team, key: t.IdempotencyKey}
		if l.byIdempotencyKey[key] == id {
			delete(l.byIdempotencyKey, key)
		}
	}
	return nil
}
