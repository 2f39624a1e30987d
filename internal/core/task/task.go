// Package task decides the life of tasks: their acceptance, the ownership of a
// shard of tasks, the leases of their attempts with workers, and their end. A
// Ledger folds one stream of the platform's log and is equal on every node at
// an equal offset. A Controller is one node's part: it folds the stream, and
// while the ledger names it owner it places and supervises the shard's tasks.
// The package is pure: time, identity and answers arrive in events.
package task

import (
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// State is the position of a task in its life.
type State string

const (
	// Waiting: to be placed on a worker.
	Waiting State = "waiting"
	// Started: a start of the current attempt is on the log. The attempt may
	// run, have ended unseen, or never have reached the worker.
	Started State = "started"
	// Parked: not to be placed for the stated reason.
	Parked State = "parked"
	// NeedsPerson: not idempotent, and it can't be known whether it ran.
	NeedsPerson State = "needs-person"
	// Ended: has a result.
	Ended State = "ended"
)

// Task is one task as the ledger knows it. Callers must not change it.
type Task struct {
	record.TaskAccepted
	// Accepted is the offset of the record that made the task known.
	Accepted vocab.Offset `json:"accepted"`
	// Changed is the offset of the last record that changed the task.
	Changed vocab.Offset `json:"changed"`
	State   State        `json:"state"`
	// Attempt is the number of the current or last attempt; 0 before the first.
	Attempt record.Attempt `json:"attempt"`
	// Epoch is the epoch under which the attempt was intended.
	Epoch       vocab.Epoch         `json:"epoch,omitempty"`
	Worker      vocab.VMID          `json:"worker,omitempty"`
	Incarnation vocab.VMIncarnation `json:"incarnation,omitempty"`
	Reserved    record.TaskSize     `json:"reserved"`
	// Cancelled means that the current attempt is to be stopped.
	Cancelled bool `json:"cancelled,omitempty"`
	// MayHaveRun means that some attempt was not attested as not started.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// FailedOn lists the workers on which attempts failed.
	FailedOn []vocab.VMID `json:"failed_on,omitempty"`
	// Failures counts the attempts that failed or hung.
	Failures int `json:"failures,omitempty"`
	// OutOfMemory counts the attempts that needed more memory than reserved.
	OutOfMemory int               `json:"out_of_memory,omitempty"`
	Checkpoint  string            `json:"checkpoint,omitempty"`
	Reason      string            `json:"reason,omitempty"`
	Result      record.TaskResult `json:"result,omitempty"`
	Output      []byte            `json:"output,omitempty"`
}

// Ref names the task's current attempt.
func (t *Task) Ref() worker.Ref {
	return worker.Ref{Task: t.Task, Attempt: t.Attempt}
}

// Owner is the holder of a shard.
type Owner struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	// Epoch is the offset of the claim; 0 means that nobody has claimed.
	Epoch vocab.Epoch `json:"epoch"`
}
