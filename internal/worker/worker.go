// Package worker holds the messages between the owner of a task shard and a
// worker. They are plain data, used by the decisions in core/task and carried
// by package platform.
//
// A worker keeps the highest epoch it has seen for each shard and refuses
// orders with a lower one. It refuses orders for another incarnation. Each
// attempt has a lease: the worker stops the attempt itself when the lease ends
// without renewal. An ask about an attempt that the worker has not seen is
// binding: the worker refuses a later start of that attempt.
package worker

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Ref names one attempt of a task.
type Ref struct {
	Task    vocab.TaskID   `json:"task"`
	Attempt record.Attempt `json:"attempt"`
}

// Kind names what an order asks for.
type Kind string

const (
	// Start runs the attempt. The same start twice runs it once.
	Start Kind = "start"
	// Renew extends the leases of Attempts and drops the results of Forget.
	Renew Kind = "renew"
	// Ask reports what became of the attempt, and fences it if never seen.
	Ask Kind = "ask"
	// Stop ends the attempt part-way and fences it if never seen.
	Stop Kind = "stop"
	// Checkpoint saves the attempt and stops it.
	Checkpoint Kind = "checkpoint"
	// Throttle sets the attempt's part of the processor time it reserved.
	Throttle Kind = "throttle"
)

// Order is what an owner tells a worker to do.
type Order struct {
	Kind        Kind                `json:"kind"`
	Worker      vocab.VMID          `json:"worker"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	Shard       vocab.StreamID      `json:"shard"`
	Epoch       vocab.Epoch         `json:"epoch"`
	// Attempts has one entry, but for Renew.
	Attempts []Ref `json:"attempts"`
	// Forget lists ended attempts whose results are on the log.
	Forget []Ref `json:"forget,omitempty"`
	// Lease is the time from receipt after which the worker stops the attempts.
	Lease time.Duration `json:"lease_ns,omitempty"`
	// Job is set for Start.
	Job *Job `json:"job,omitempty"`
	// Percent is the part of the reserved processor time, for Throttle.
	Percent int `json:"percent,omitempty"`
}

// Job is what an attempt runs.
type Job struct {
	Queue vocab.QueueID   `json:"queue"`
	Team  vocab.TeamID    `json:"team"`
	Size  record.TaskSize `json:"size"`
	Body  []byte          `json:"body,omitempty"`
	// Checkpoint names the saved state to continue from; empty for none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Code tells whether a worker took an order.
type Code string

const (
	// Done: the order was carried out; Answer.Attempts has the details.
	Done Code = "done"
	// NoAnswer: no answer came; whether the order had an effect is unknown.
	NoAnswer Code = "no-answer"
	// NotSent: the order's time had passed before it could be sent.
	NotSent Code = "not-sent"
	// NoRoom: the worker has no room and did not start the attempt.
	NoRoom Code = "no-room"
	// StaleEpoch: the worker has seen a higher epoch of this shard.
	StaleEpoch Code = "stale-epoch"
	// WrongIncarnation: the worker was replaced; all earlier attempts are over.
	WrongIncarnation Code = "wrong-incarnation"
)

// Answer is a worker's reply to one order.
type Answer struct {
	Code     Code            `json:"code"`
	Attempts []AttemptReport `json:"attempts,omitempty"`
}

// Phase is what a worker says of an attempt.
type Phase string

const (
	// NeverSeen: not started, and a later start will be refused.
	NeverSeen Phase = "never-seen"
	// Running: started and not over.
	Running Phase = "running"
	// Succeeded: ran to its end.
	Succeeded Phase = "succeeded"
	// Failed: ran and failed.
	Failed Phase = "failed"
	// OutOfMemory: failed for want of memory.
	OutOfMemory Phase = "out-of-memory"
	// Stopped: stopped part-way by order or because its lease ended.
	Stopped Phase = "stopped"
	// Checkpointed: saved and stopped.
	Checkpointed Phase = "checkpointed"
)

// AttemptReport is what a worker says of one attempt.
type AttemptReport struct {
	Ref
	Phase Phase `json:"phase"`
	// Peak is the largest use so far.
	Peak record.TaskSize `json:"peak"`
	// RunTime is the time since the start, or from start to end.
	RunTime    time.Duration `json:"run_time_ns"`
	Output     []byte        `json:"output,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
}

// Usage is what a worker as a whole used a while ago, with the attempts that
// ended since the reader's last report.
type Usage struct {
	Sequence uint64          `json:"sequence"`
	Used     record.TaskSize `json:"used"`
	// Lag is the age of Used.
	Lag   time.Duration   `json:"lag_ns"`
	Ended []AttemptReport `json:"ended,omitempty"`
}

// Info is one worker as the platform lists it.
type Info struct {
	Worker      vocab.VMID          `json:"worker"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	Region      vocab.RegionID      `json:"region"`
	Zone        vocab.ZoneID        `json:"zone"`
	Rack        vocab.RackID        `json:"rack"`
	Address     string              `json:"address"`
	Capacity    record.TaskSize     `json:"capacity"`
	// Leaving means that the worker must get no new work.
	Leaving bool `json:"leaving"`
}
