// Package worker defines the messages between the owner of a task shard and a
// worker. They are plain data. Package core/task creates and interprets them, and
// package services transfers them.
//
// A worker stores the highest epoch that it has seen for each shard and refuses
// orders with a lower one. It also refuses orders for another incarnation. Each
// attempt has a lease: the worker stops the attempt by itself when the lease
// expires without renewal. A worker that receives a Query or Stop order for an
// attempt that it has not seen refuses a later start of that attempt.
package worker

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// AttemptRef identifies an attempt of a task.
type AttemptRef struct {
	Task    vocab.TaskID   `json:"task"`
	Attempt record.Attempt `json:"attempt"`
}

// Kind is the kind of an order.
type Kind string

const (
	// Start starts the attempt. It is idempotent.
	Start Kind = "start"
	// Renew renews the leases of Attempts and removes the results of Forget.
	Renew Kind = "renew"
	// Query queries the phase of the attempt, and fences the attempt off if the worker
	// has not seen it.
	Query Kind = "ask"
	// Stop stops the attempt before its end, and fences it off if the worker has not
	// seen it.
	Stop Kind = "stop"
	// Checkpoint saves the state of the attempt and stops it.
	Checkpoint Kind = "checkpoint"
	// Throttle sets the CPU share of the attempt in percent of its reservation.
	Throttle Kind = "throttle"
)

// Order is an order of an owner to a worker.
type Order struct {
	Kind        Kind                `json:"kind"`
	Worker      vocab.VMID          `json:"worker"`
	Incarnation vocab.VMIncarnation `json:"incarnation"`
	Shard       vocab.StreamID      `json:"shard"`
	Epoch       vocab.Epoch         `json:"epoch"`
	// Attempts has exactly one entry, except for Renew.
	Attempts []AttemptRef `json:"attempts"`
	// Forget lists ended attempts whose results have been appended to the log.
	Forget []AttemptRef `json:"forget,omitempty"`
	// Lease is the time from receipt of the order after which the worker stops the
	// attempts.
	Lease time.Duration `json:"lease_ns,omitempty"`
	// Spec is set for Start.
	Spec *AttemptSpec `json:"job,omitempty"`
	// Percent is the CPU share for Throttle.
	Percent int `json:"percent,omitempty"`
}

// AttemptSpec holds what a worker needs to run an attempt.
type AttemptSpec struct {
	Queue vocab.QueueID   `json:"queue"`
	Team  vocab.TeamID    `json:"team"`
	Size  record.TaskSize `json:"size"`
	Body  []byte          `json:"body,omitempty"`
	// Checkpoint names the saved state to resume from. It is empty if there is
	// none.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Code is the outcome of an order.
type Code string

const (
	// Done: the order was executed; Answer.Attempts has the details.
	Done Code = "done"
	// NoAnswer: no answer was received; whether the order had an effect is unknown.
	NoAnswer Code = "no-answer"
	// NotSent: the latest instant for the order passed before it could be sent.
	NotSent Code = "not-sent"
	// NoCapacity: the worker has not enough free resources and did not start the
	// attempt.
	NoCapacity Code = "no-room"
	// StaleEpoch: the worker has seen a higher epoch of this shard.
	StaleEpoch Code = "stale-epoch"
	// WrongIncarnation: the worker has been replaced by another incarnation; all
	// attempts on the one in the order have ended.
	WrongIncarnation Code = "wrong-incarnation"
)

// Answer is a worker's reply to one order.
type Answer struct {
	Code     Code            `json:"code"`
	Attempts []AttemptReport `json:"attempts,omitempty"`
}

// AttemptPhase is the state of an attempt on a worker.
type AttemptPhase string

const (
	// NeverSeen: the worker does not know the attempt. In an answer to Query or Stop it
	// also means that the worker will refuse a later start.
	NeverSeen AttemptPhase = "never-seen"
	// Running: started and not ended.
	Running AttemptPhase = "running"
	// Succeeded: ended without failure.
	Succeeded AttemptPhase = "succeeded"
	// Failed: ended with a failure.
	Failed AttemptPhase = "failed"
	// OutOfMemory: failed because it ran out of memory.
	OutOfMemory AttemptPhase = "out-of-memory"
	// Stopped: stopped before its end by an order or because its lease expired.
	Stopped AttemptPhase = "stopped"
	// Checkpointed: stopped after its state was saved.
	Checkpointed AttemptPhase = "checkpointed"
)

// AttemptReport is a worker's report on an attempt.
type AttemptReport struct {
	AttemptRef
	Phase AttemptPhase `json:"phase"`
	// Peak is the peak resource usage so far.
	Peak record.TaskSize `json:"peak"`
	// RunTime is the time from the start until now, or until the end of an ended
	// attempt.
	RunTime    time.Duration `json:"run_time_ns"`
	Output     []byte        `json:"output,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
}

// Usage is a periodic report of a worker. Used is the total resource usage at an
// earlier time, and Ended lists the attempts that ended since the last report that
// the reader received.
type Usage struct {
	Sequence uint64          `json:"sequence"`
	Used     record.TaskSize `json:"used"`
	// Lag is the age of Used when the report was made.
	Lag   time.Duration   `json:"lag_ns"`
	Ended []AttemptReport `json:"ended,omitempty"`
}

// Info is a worker in the platform's list.
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
