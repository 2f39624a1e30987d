package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Effects.
type (
	// LoadStream asks for the newest record of each key: StreamLoaded.
	LoadStream struct{ out }

	// ReadStream reads the stream from an offset: StreamRead.
	ReadStream struct {
		out
		From int64
		// Wait is how long to wait for a record if there is none.
		Wait time.Duration
	}

	// Append adds records to the stream: Appended.
	Append struct {
		out
		ID      uint64
		Records []Record
		// At, if not negative, is where the stream must end.
		At int64
		// Fence, if set, makes it an append of the owner: one with a higher
		// fence refuses it, and Seq keeps a repetition from being a second one.
		Fence Fence
		Seq   uint64
	}

	// FollowWorkers begins or ends following the list of workers.
	FollowWorkers struct {
		out
		On bool
	}

	// Poll extends the lease of what runs on a worker and lists it: Polled.
	Poll struct {
		out
		Worker  WorkerID
		Address string
		Born    Millis
		Fence   Fence
		// Lease, if set, is the worker's clock up to which what runs may go on.
		Lease time.Duration
		// Acked is the last end that needs no further listing.
		Acked int64
		// Wait is how long the worker may wait for an end.
		Wait time.Duration
		// Until is when the order is no longer to be sent.
		Until vocab.Instant
	}

	// Start starts a run: StartAnswered.
	Start struct {
		out
		Worker     WorkerID
		Address    string
		Fence      Fence
		Task       TaskName
		Run        Run
		Payload    string
		Checkpoint string
		// Ticket is the advisor's, where the queue has one.
		Ticket string
		Lease  time.Duration
		Until  vocab.Instant
	}

	// Stop stops a run and bars it: StopAnswered.
	Stop struct {
		out
		Worker  WorkerID
		Address string
		Fence   Fence
		Task    TaskName
		Run     Run
	}

	// Pace sets the share of its work that a run may do.
	Pace struct {
		out
		Worker  WorkerID
		Address string
		Fence   Fence
		Task    TaskName
		Run     Run
		Percent int
	}

	// OfferOwnership tells another node that this owner cannot write any more.
	OfferOwnership struct {
		out
		Address string
		Fence   Fence
	}

	// Reply answers a caller.
	Reply struct {
		out
		Call   CallID
		Answer Answer
		// State is set in the answer to a Query.
		State Phase
		// Pending is set in the answer to a Backlog.
		Pending int
		// RetryAfter, if set, is when to come back.
		RetryAfter time.Duration
		Detail     string
		// ConfigVersion is the version of the configuration that the answer goes by.
		ConfigVersion uint64
	}

	// Note is a line for the log.
	Note struct {
		out
		Event  NoteID
		Fields []any
	}
)

// Answer is the kind of an answer to a caller.
type Answer int

const (
	// Accepted: done as asked.
	Accepted Answer = iota
	// NoQueue: no queue has this host and path.
	NoQueue
	// NoKey: the key is unknown.
	NoKey
	// NoJob: there is no such job.
	NoJob
	// Refused: not accepted, and it will never run.
	Refused
	// Unclear: it may have been accepted; the caller may send it again.
	Unclear
	// Malformed: the request cannot be understood.
	Malformed
)

// NoteID numbers the log lines of jobs; docs/LOG-EVENTS.md explains each.
type NoteID int

// Numbered log lines.
const (
	NoteClaimed NoteID = 600 + iota
	NoteOwning
	NoteOwnershipLost
	NoteResigned
	NoteStreamLost
	NoteStreamBack
	NoteConfig
	NoteAccepted
	NoteRefused
	NoteStarted
	NoteStartFailed
	NoteEnded
	NoteLost
	NoteJobEnded
	NoteCancelled
	NoteWorkerSilent
	NoteWorkerBack
	NoteWorkerReborn
	NoteRecordBad
	NoteUpkeep
	NoteMove
	NoteWave
	NoteStray
	NotePaced
	NotePool
	NoteAdvice
	NoteNotServed
	NoteUnanswered
	NotePassedOn
	NoteOffered
)

var noteNames = map[NoteID]string{
	NoteClaimed: "ownership claimed", NoteOwning: "owning the workers", NoteOwnershipLost: "ownership lost",
	NoteResigned: "ownership handed over", NoteStreamLost: "job stream lost", NoteStreamBack: "job stream back",
	NoteConfig: "configuration in force", NoteAccepted: "job accepted", NoteRefused: "job refused",
	NoteStarted: "run started", NoteStartFailed: "start failed", NoteEnded: "run ended", NoteLost: "run lost",
	NoteJobEnded: "job ended", NoteCancelled: "job cancelled", NoteWorkerSilent: "worker silent",
	NoteWorkerBack: "worker answers again", NoteWorkerReborn: "worker restarted", NoteRecordBad: "record unreadable",
	NoteUpkeep: "machine upkeep", NoteMove: "machine move", NoteWave: "wave", NoteStray: "stray run stopped",
	NotePaced: "run paced", NotePool: "pool state", NoteAdvice: "advice given",
	NoteNotServed: "call not served", NoteUnanswered: "call without an answer",
	NotePassedOn: "call passed on",
	NoteOffered:  "ownership offered",
}

var answerNames = map[Answer]string{
	Accepted: "accepted", NoQueue: "no_queue", NoKey: "no_key", NoJob: "no_job",
	Refused: "refused", Unclear: "unclear", Malformed: "malformed",
}

// String implements fmt.Stringer.
func (a Answer) String() string { return answerNames[a] }

// String implements fmt.Stringer.
func (n NoteID) String() string { return noteNames[n] }

// out marks a type as an effect.
type out struct{}

// IsEffect implements event.Effect.
func (out) IsEffect() {}
