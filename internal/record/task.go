package record

import (
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

func init() {
	register[TaskAccepted]()
	register[TasksCancelled]()
	register[TaskOwnerClaimed]()
	register[TaskOwnerRenewed]()
	register[TaskStartIntended]()
	register[TaskAttemptLost]()
	register[TaskFinished]()
	register[TaskParked]()
	register[TaskUnparked]()
	register[TaskNeedsOperator]()
	register[TasksForgotten]()
	register[TaskSnapshotChunk]()
	register[TaskSnapshotDone]()
}

// Attempt numbers the starts of one task, beginning at 1.
type Attempt uint32

// TaskSize is an amount of resources: what a task requests or uses, or the
// capacity of a worker.
type TaskSize struct {
	// MilliCPU is CPU time in thousandths of a core: 1000 is one core.
	MilliCPU int64 `json:"milli_cpu"`
	// MemoryBytes is resident memory.
	MemoryBytes int64 `json:"memory_bytes"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// TaskAccepted adds a task. Any node may append it. It is ignored if the task
// exists already, or if the team already has a task with the same idempotency key.
type TaskAccepted struct {
	Task  vocab.TaskID  `json:"task"`
	Queue vocab.QueueID `json:"queue"`
	Team  vocab.TeamID  `json:"team"`
	// IdempotencyKey is chosen by the caller; it detects a task that is submitted twice.
	// Empty means no key.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Idempotent allows another attempt after one whose outcome is unknown.
	Idempotent bool `json:"idempotent,omitempty"`
	Urgent     bool `json:"urgent,omitempty"`
	// Checkpoints is true if the task can save a checkpoint, from which another
	// worker can continue it.
	Checkpoints bool          `json:"checkpoints,omitempty"`
	Size        TaskSize      `json:"size"`
	RunTime     spec.Duration `json:"run_time"`
	Body        []byte        `json:"body,omitempty"`
}

// RecordKind implements Body.
func (TaskAccepted) RecordKind() Kind { return "task.accepted" }

// TasksCancelled cancels tasks. Any node may append it. A task is not started if
// this record precedes its TaskStartIntended record.
type TasksCancelled struct {
	Tasks []vocab.TaskID `json:"tasks"`
}

// RecordKind implements Body.
func (TasksCancelled) RecordKind() Kind { return "task.cancelled" }

// TaskOwnerClaimed claims the ownership of a shard. It is accepted only if
// Replaces is the epoch in force at the record's offset, which then becomes the new
// epoch.
type TaskOwnerClaimed struct {
	Shard       vocab.StreamID    `json:"shard"`
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Replaces    vocab.Epoch       `json:"replaces"`
}

// RecordKind implements Body.
func (TaskOwnerClaimed) RecordKind() Kind { return "task.owner-claimed" }

// TaskOwnerRenewed is the heartbeat of a shard's owner.
type TaskOwnerRenewed struct {
	Epoch vocab.Epoch `json:"epoch"`
}

// RecordKind implements Body.
func (TaskOwnerRenewed) RecordKind() Kind { return "task.owner-renewed" }

// TaskStartIntended records an attempt before its start. The owner orders the
// start only after it has folded this record while the record's epoch was in
// force.
type TaskStartIntended struct {
	Epoch       vocab.Epoch         `json:"epoch"`
	Task        vocab.TaskID        `json:"task"`
	Attempt     Attempt             `json:"attempt"`
	Worker      vocab.VMID          `json:"worker"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	// Size is the amount of resources that the owner reserved on the worker.
	Size TaskSize `json:"size"`
}

// RecordKind implements Body.
func (TaskStartIntended) RecordKind() Kind { return "task.start-intended" }

// LossReason is the reason why an attempt ended without a result.
type LossReason string

const (
	// LossNotStarted: the worker confirmed that it has not started the attempt and
	// never will.
	LossNotStarted LossReason = "not-started"
	// LossCheckpointed: the worker saved a checkpoint of the attempt, from which the
	// next attempt continues.
	LossCheckpointed LossReason = "checkpointed"
	// LossFailed: the worker reported that the attempt failed.
	LossFailed LossReason = "failed"
	// LossOutOfMemory: the attempt failed because it needed more memory.
	LossOutOfMemory LossReason = "out-of-memory"
	// LossLeaseExpired: the worker's lease expired. The attempt may have run completely.
	LossLeaseExpired LossReason = "lapsed"
	// LossStopped: the owner stopped the attempt before it completed.
	LossStopped LossReason = "stopped"
	// LossHung: the owner stopped the attempt because it ran far too long.
	LossHung LossReason = "hung"
	// LossWorkerCrashed: the worker's incarnation ended while the attempt may have been running on
	// it. LossWorkerCrashSuspected: the attempt may have caused that.
	LossWorkerCrashed        LossReason = "worker-crashed"
	LossWorkerCrashSuspected LossReason = "worker-crash-suspected"
)

// TaskAttemptLost ends an attempt without a result. An idempotent task then waits
// for another attempt. A task that is not idempotent does so only if the attempt
// was not started or was checkpointed; otherwise it needs an operator.
type TaskAttemptLost struct {
	Epoch   vocab.Epoch  `json:"epoch"`
	Task    vocab.TaskID `json:"task"`
	Attempt Attempt      `json:"attempt"`
	Reason  LossReason   `json:"reason"`
	// Checkpoint names the checkpoint if Reason is LossCheckpointed.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Evidence is the evidence of a crash that the attempt caused it, or of a failure that the task is at
	// fault, in thousandths of the natural logarithm; negative if a crash was likely anyway. Records of
	// earlier versions have none.
	Evidence int `json:"evidence,omitempty"`
	// RanLong means that the attempt had been running well for long before the crash.
	RanLong bool `json:"ran_long,omitempty"`
}

// RecordKind implements Body.
func (TaskAttemptLost) RecordKind() Kind { return "task.attempt-lost" }

// TaskResult is the final result of a task.
type TaskResult string

const (
	// TaskSucceeded: the worker reported success.
	TaskSucceeded TaskResult = "succeeded"
	// TaskFailed: the worker reported a failure and the task is not retried.
	TaskFailed TaskResult = "failed"
	// TaskCancelledNotRun: the task was cancelled before any attempt was started.
	TaskCancelledNotRun TaskResult = "cancelled-not-run"
	// TaskCancelledStopped: the task was cancelled after an attempt may have started.
	TaskCancelledStopped TaskResult = "cancelled-stopped"
)

// TaskFinished records the final result of a task.
type TaskFinished struct {
	Epoch   vocab.Epoch  `json:"epoch"`
	Task    vocab.TaskID `json:"task"`
	Attempt Attempt      `json:"attempt"`
	Result  TaskResult   `json:"result"`
	Output  []byte       `json:"output,omitempty"`
	// Hung is true if the owner stopped the attempt because it ran far too long.
	Hung bool `json:"hung,omitempty"`
	// Peak is the peak resource use that the worker reported for a complete run,
	// and RunTime the time that the run took. Both are zero without a complete run.
	Peak    TaskSize      `json:"peak"`
	RunTime spec.Duration `json:"run_time"`
}

// RecordKind implements Body.
func (TaskFinished) RecordKind() Kind { return "task.ended" }

// TaskParked excludes a waiting task from scheduling, for the given reason.
type TaskParked struct {
	Epoch vocab.Epoch  `json:"epoch"`
	Task  vocab.TaskID `json:"task"`
	// LastChange is the offset of the task's last change that the owner had folded. The
	// record is ignored if the task has changed since.
	LastChange vocab.Offset `json:"seen"`
	Reason     string       `json:"reason"`
}

// RecordKind implements Body.
func (TaskParked) RecordKind() Kind { return "task.parked" }

// TaskUnparked makes a parked task available for scheduling again.
type TaskUnparked struct {
	Epoch vocab.Epoch  `json:"epoch"`
	Task  vocab.TaskID `json:"task"`
	// LastChange is the offset of the task's last change that the owner had folded. The
	// record is ignored if the task has changed since.
	LastChange vocab.Offset `json:"seen"`
}

// RecordKind implements Body.
func (TaskUnparked) RecordKind() Kind { return "task.unparked" }

// TaskNeedsOperator records that a task which is not idempotent needs an operator,
// because it is unknown whether its attempt ran. The system does not schedule the
// task again by itself.
type TaskNeedsOperator struct {
	Epoch   vocab.Epoch  `json:"epoch"`
	Task    vocab.TaskID `json:"task"`
	Attempt Attempt      `json:"attempt"`
	Reason  string       `json:"reason"`
}

// RecordKind implements Body.
func (TaskNeedsOperator) RecordKind() Kind { return "task.needs-person" }

// TasksForgotten deletes finished tasks whose retention time is over.
type TasksForgotten struct {
	Epoch vocab.Epoch    `json:"epoch"`
	Tasks []vocab.TaskID `json:"tasks"`
}

// RecordKind implements Body.
func (TasksForgotten) RecordKind() Kind { return "task.forgotten" }

// KindTaskSnapshotChunk is the kind of TaskSnapshotChunk.
const KindTaskSnapshotChunk Kind = "task.snapshot-chunk"

// TaskSnapshotChunk is one part of an encoded snapshot of the task ledger as of
// its Offset. A reader that follows the stream skips it without decoding it. A
// starting reader restores the ledger from a complete set of parts.
type TaskSnapshotChunk struct {
	Version int          `json:"version"`
	Offset  vocab.Offset `json:"at"`
	Part    int          `json:"part"`
	// Parts is the number of parts of the snapshot.
	Parts int `json:"parts"`
	// Sum is the xxhash of Data.
	Sum  uint64 `json:"sum"`
	Data []byte `json:"data"`
}

// RecordKind implements Body.
func (TaskSnapshotChunk) RecordKind() Kind { return KindTaskSnapshotChunk }

// TaskSnapshotDone marks a snapshot as complete, after its last part.
type TaskSnapshotDone struct {
	Offset vocab.Offset `json:"at"`
	Parts  int          `json:"parts"`
}

// RecordKind implements Body.
func (TaskSnapshotDone) RecordKind() Kind { return "task.snapshot-done" }
