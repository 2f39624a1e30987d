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
	register[TaskEnded]()
	register[TaskParked]()
	register[TaskUnparked]()
	register[TaskNeedsPerson]()
	register[TasksForgotten]()
	register[TaskSnapshotChunk]()
	register[TaskSnapshotDone]()
}

// Attempt numbers the starts of one task, beginning at 1.
type Attempt uint32

// TaskSize is what a task needs or uses, and what a worker has.
type TaskSize struct {
	// MilliCPU is processor time: 1000 stands for one core.
	MilliCPU int64 `json:"milli_cpu"`
	// MemoryBytes is resident memory.
	MemoryBytes int64 `json:"memory_bytes"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// TaskAccepted makes a task known. Any node may append it. The fold ignores it
// if the task is known, or if the team already has a task under the key.
type TaskAccepted struct {
	Task  vocab.TaskID  `json:"task"`
	Queue vocab.QueueID `json:"queue"`
	Team  vocab.TeamID  `json:"team"`
	// IdempotencyKey is the caller's own name for the task; empty for none.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Idempotent allows another attempt after one with an unknown end.
	Idempotent bool `json:"idempotent,omitempty"`
	Urgent     bool `json:"urgent,omitempty"`
	// Checkpoints means that the task can be saved and continued elsewhere.
	Checkpoints bool          `json:"checkpoints,omitempty"`
	Size        TaskSize      `json:"size"`
	RunTime     spec.Duration `json:"run_time"`
	Body        []byte        `json:"body,omitempty"`
}

// RecordKind implements Body.
func (TaskAccepted) RecordKind() Kind { return "task.accepted" }

// TasksCancelled cancels tasks. Any node may append it. Its place among the
// TaskStartIntended records decides whether a task is started.
type TasksCancelled struct {
	Tasks []vocab.TaskID `json:"tasks"`
}

// RecordKind implements Body.
func (TasksCancelled) RecordKind() Kind { return "task.cancelled" }

// TaskOwnerClaimed claims a shard. The fold accepts it only if Replaces is the
// epoch in force at that point; the claim's offset is then the new epoch.
type TaskOwnerClaimed struct {
	Shard       vocab.StreamID    `json:"shard"`
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Replaces    vocab.Epoch       `json:"replaces"`
}

// RecordKind implements Body.
func (TaskOwnerClaimed) RecordKind() Kind { return "task.owner-claimed" }

// TaskOwnerRenewed shows that the owner of an epoch is alive.
type TaskOwnerRenewed struct {
	Epoch vocab.Epoch `json:"epoch"`
}

// RecordKind implements Body.
func (TaskOwnerRenewed) RecordKind() Kind { return "task.owner-renewed" }

// TaskStartIntended announces an attempt. The owner orders the start only after
// it has folded this record at its own epoch.
type TaskStartIntended struct {
	Epoch       vocab.Epoch         `json:"epoch"`
	Task        vocab.TaskID        `json:"task"`
	Attempt     Attempt             `json:"attempt"`
	Worker      vocab.VMID          `json:"worker"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	// Size is what the owner reserved on the worker.
	Size TaskSize `json:"size"`
}

// RecordKind implements Body.
func (TaskStartIntended) RecordKind() Kind { return "task.start-intended" }

// LossReason tells why an attempt ended without a result.
type LossReason string

const (
	// LossNotStarted: the worker attests that it never ran the attempt and will not.
	LossNotStarted LossReason = "not-started"
	// LossCheckpointed: the worker saved the attempt; the next one continues it.
	LossCheckpointed LossReason = "checkpointed"
	// LossFailed: the worker reports that the attempt failed.
	LossFailed LossReason = "failed"
	// LossOutOfMemory: the attempt failed because it needed more memory.
	LossOutOfMemory LossReason = "out-of-memory"
	// LossLapsed: the worker's lease lapsed; the attempt may have run in full.
	LossLapsed LossReason = "lapsed"
	// LossStopped: the owner stopped the attempt part-way.
	LossStopped LossReason = "stopped"
	// LossHung: the owner stopped the attempt because it ran far too long.
	LossHung LossReason = "hung"
)

// TaskAttemptLost ends an attempt without a result. The fold lets an idempotent
// task wait again; another task waits again only if it was not started or was
// checkpointed, and otherwise needs a person.
type TaskAttemptLost struct {
	Epoch   vocab.Epoch  `json:"epoch"`
	Task    vocab.TaskID `json:"task"`
	Attempt Attempt      `json:"attempt"`
	Reason  LossReason   `json:"reason"`
	// Checkpoint names the saved state if Reason is LossCheckpointed.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// RecordKind implements Body.
func (TaskAttemptLost) RecordKind() Kind { return "task.attempt-lost" }

// TaskResult is the final result of a task.
type TaskResult string

const (
	// TaskSucceeded: the worker reports success.
	TaskSucceeded TaskResult = "succeeded"
	// TaskFailed: the worker reports failure and the task is not tried again.
	TaskFailed TaskResult = "failed"
	// TaskCancelledNotRun: cancelled before any attempt was started.
	TaskCancelledNotRun TaskResult = "cancelled-not-run"
	// TaskCancelledStopped: cancelled after an attempt may have started.
	TaskCancelledStopped TaskResult = "cancelled-stopped"
)

// TaskEnded ends a task.
type TaskEnded struct {
	Epoch   vocab.Epoch  `json:"epoch"`
	Task    vocab.TaskID `json:"task"`
	Attempt Attempt      `json:"attempt"`
	Result  TaskResult   `json:"result"`
	Output  []byte       `json:"output,omitempty"`
	// Hung means that the owner stopped the attempt because it ran far too long.
	Hung bool `json:"hung,omitempty"`
	// Peak and RunTime are what the worker reports of a complete run, else zero.
	Peak    TaskSize      `json:"peak"`
	RunTime spec.Duration `json:"run_time"`
}

// RecordKind implements Body.
func (TaskEnded) RecordKind() Kind { return "task.ended" }

// TaskParked takes a waiting task out of placement.
type TaskParked struct {
	Epoch vocab.Epoch  `json:"epoch"`
	Task  vocab.TaskID `json:"task"`
	// Seen is the offset of the task's last change as the owner saw it. The
	// fold ignores the record if the task has changed since.
	Seen   vocab.Offset `json:"seen"`
	Reason string       `json:"reason"`
}

// RecordKind implements Body.
func (TaskParked) RecordKind() Kind { return "task.parked" }

// TaskUnparked lets a parked task wait for placement again.
type TaskUnparked struct {
	Epoch vocab.Epoch  `json:"epoch"`
	Task  vocab.TaskID `json:"task"`
	// Seen is the offset of the task's last change as the owner saw it.
	Seen vocab.Offset `json:"seen"`
}

// RecordKind implements Body.
func (TaskUnparked) RecordKind() Kind { return "task.unparked" }

// TaskNeedsPerson states that it can't be known whether the attempt ran, and
// that the task is not idempotent. The system does nothing more by itself.
type TaskNeedsPerson struct {
	Epoch   vocab.Epoch  `json:"epoch"`
	Task    vocab.TaskID `json:"task"`
	Attempt Attempt      `json:"attempt"`
	Reason  string       `json:"reason"`
}

// RecordKind implements Body.
func (TaskNeedsPerson) RecordKind() Kind { return "task.needs-person" }

// TasksForgotten drops ended tasks whose results were kept long enough.
type TasksForgotten struct {
	Epoch vocab.Epoch    `json:"epoch"`
	Tasks []vocab.TaskID `json:"tasks"`
}

// RecordKind implements Body.
func (TasksForgotten) RecordKind() Kind { return "task.forgotten" }

// KindTaskSnapshotChunk is the kind of TaskSnapshotChunk.
const KindTaskSnapshotChunk Kind = "task.snapshot-chunk"

// TaskSnapshotChunk is one part of the ledger as of offset At. A fold in
// progress skips it undecoded; a reader that starts restores from a complete
// set.
type TaskSnapshotChunk struct {
	Version int          `json:"version"`
	At      vocab.Offset `json:"at"`
	Part    int          `json:"part"`
	Parts   int          `json:"parts"`
	// Sum is the xxhash of Data.
	Sum  uint64 `json:"sum"`
	Data []byte `json:"data"`
}

// RecordKind implements Body.
func (TaskSnapshotChunk) RecordKind() Kind { return KindTaskSnapshotChunk }

// TaskSnapshotDone follows the last part of a snapshot.
type TaskSnapshotDone struct {
	At    vocab.Offset `json:"at"`
	Parts int          `json:"parts"`
}

// RecordKind implements Body.
func (TaskSnapshotDone) RecordKind() Kind { return "task.snapshot-done" }
