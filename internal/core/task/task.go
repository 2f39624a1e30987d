// Package task manages tasks from the time a task is submitted to its result. It
// decides which tasks are accepted, which node owns a shard of tasks, which
// worker runs each attempt under which lease, and how each task ends.
//
// A Ledger is the state folded from one stream of the platform's log; it is the
// same on every node at the same offset. A Controller runs on each node. It
// folds the stream, and while the ledger names its node as the owner of the
// shard, it places the shard's tasks on workers and supervises their attempts.
//
// The package does no I/O and reads no clock: the time, the node's identity and
// all replies arrive in events.
package task

import (
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// State is the state of a task in the ledger.
type State string

const (
	// Waiting: waits to be placed on a worker.
	Waiting State = "waiting"
	// Started: the log has the record that announces the current attempt. The
	// attempt may be running, may have ended without a report to the owner, or
	// may never have reached the worker.
	Started State = "started"
	// Parked: not to be scheduled, for the reason in Task.Reason.
	Parked State = "parked"
	// NeedsOperator: the task is not idempotent and may or may not have run, so
	// an operator must decide what to do.
	NeedsOperator State = "needs-person"
	// Ended: has a result; no further attempt is made.
	Ended State = "ended"
)

// Task is the ledger's state of one task. Callers must not modify it.
type Task struct {
	record.TaskAccepted
	// Accepted is the offset of the record that added the task to the ledger.
	Accepted vocab.Offset `json:"accepted"`
	// Changed is the offset of the last record that changed the task.
	Changed vocab.Offset `json:"changed"`
	State   State        `json:"state"`
	// Attempt is the number of the current or last attempt; 0 before the first.
	Attempt record.Attempt `json:"attempt"`
	// Epoch is the owner's epoch when it announced the attempt.
	Epoch       vocab.Epoch         `json:"epoch,omitempty"`
	Worker      vocab.VMID          `json:"worker,omitempty"`
	Incarnation vocab.VMIncarnation `json:"incarnation,omitempty"`
	Reserved    record.TaskSize     `json:"reserved"`
	// Cancelled means that a caller cancelled the task: the current attempt is
	// stopped and no other is started.
	Cancelled bool `json:"cancelled,omitempty"`
	// MayHaveRun means that at least one attempt may have run: its worker did
	// not attest that it never started it.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// FailedOn lists the workers on which attempts failed.
	FailedOn []vocab.VMID `json:"failed_on,omitempty"`
	// Failures counts the attempts that failed, and those that were stopped
	// because they hung.
	Failures int `json:"failures,omitempty"`
	// FailureEvidence is the evidence of these attempts that the task is at fault, in thousandths of the
	// natural logarithm.
	FailureEvidence int `json:"failure_evidence,omitempty"`
	// Crashes counts the worker incarnations that ended with an attempt of the task on them,
	// SuspectedCrashes those that the task may have ended, both since an attempt last ended in another
	// way or ran well for long.
	Crashes          int `json:"crashes,omitempty"`
	SuspectedCrashes int `json:"suspected_crashes,omitempty"`
	// CrashEvidence is the evidence of these crashes that the task causes them, SuspectedEvidence
	// that of the suspected ones, both in thousandths of the natural logarithm.
	CrashEvidence     int `json:"crash_evidence,omitempty"`
	SuspectedEvidence int `json:"suspected_evidence,omitempty"`
	// OutOfMemory counts the attempts that failed because they needed more
	// memory than was reserved.
	OutOfMemory int               `json:"out_of_memory,omitempty"`
	Checkpoint  string            `json:"checkpoint,omitempty"`
	Reason      string            `json:"reason,omitempty"`
	Result      record.TaskResult `json:"result,omitempty"`
	Output      []byte            `json:"output,omitempty"`
}

// Ref returns the reference of the task's current attempt.
func (t *Task) Ref() worker.AttemptRef {
	return worker.AttemptRef{Task: t.Task, Attempt: t.Attempt}
}

// Owner identifies the node that owns a shard, and the epoch of its ownership.
type Owner struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	// Epoch is the offset of the owner's claim; 0 means that the shard has no owner yet.
	Epoch vocab.Epoch `json:"epoch"`
}
