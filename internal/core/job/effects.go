package job

import (
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Effects.
type (
	// LoadStream reads the newest record of each key. The response is StreamLoaded or
	// StreamFailed.
	LoadStream struct{ effectMarker }

	// ReadStream reads the stream from an offset. The response is StreamRead or
	// StreamFailed.
	ReadStream struct {
		effectMarker
		From int64
		// Wait bounds the wait for a record if there is none yet.
		Wait time.Duration
		// MaxBytes bounds the size of the response, unless its first record is larger.
		MaxBytes int
	}

	// Append appends records to the stream. The response is Appended.
	Append struct {
		effectMarker
		ID      uint64
		Records []Record
		// At, if not negative, is a condition: the stream must end at this offset.
		At int64
		// Fence is set for an append of the owner: the stream refuses it if it has seen
		// a higher fence, and applies an append repeated with the same Seq only once.
		Fence Fence
		Seq   uint64
	}

	// FollowWorkers starts or stops the delivery of WorkersListed events.
	FollowWorkers struct {
		effectMarker
		On bool
	}

	// Poll extends the leases of the runs on a worker and lists the runs. The response is
	// Polled.
	Poll struct {
		effectMarker
		Worker      WorkerID
		Address     string
		Incarnation Millis
		Fence       Fence
		// Lease, if set, is the reading of the worker's clock until which the runs may
		// continue.
		Lease time.Duration
		// Acked is the number of the last end that the worker need not list any more.
		Acked int64
		// Wait bounds the time that the worker waits for an end before it responds.
		Wait time.Duration
		// Until is the time after which the poll must not extend the leases.
		Until vocab.Instant
	}

	// Start starts a run. The response is StartAnswered.
	Start struct {
		effectMarker
		Worker     WorkerID
		Address    string
		Fence      Fence
		Task       TaskName
		Run        Run
		Payload    string
		Checkpoint string
		// Ticket is the advisor's ticket, if the queue has an advisor.
		Ticket string
		// Lease is the reading of the worker's clock until which the run may continue.
		Lease time.Duration
		// Until is the time after which the start must not be sent.
		Until vocab.Instant
	}

	// Stop stops a run and makes the worker refuse a start of it that arrives later. The
	// response is StopAnswered.
	Stop struct {
		effectMarker
		Worker  WorkerID
		Address string
		Fence   Fence
		Task    TaskName
		Run     Run
	}

	// Throttle throttles a run to a CPU share in percent.
	Throttle struct {
		effectMarker
		Worker  WorkerID
		Address string
		Fence   Fence
		Task    TaskName
		Run     Run
		Percent int
	}

	// OfferOwnership offers the ownership to another node because appends of this owner
	// fail.
	OfferOwnership struct {
		effectMarker
		Address string
		Fence   Fence
	}

	// Reply is the reply to a caller's call.
	Reply struct {
		effectMarker
		Call   CallID
		Answer Answer
		// State is set in the reply to a Query.
		State Phase
		// Pending is set in the reply to a Backlog.
		Pending int
		// RetryAfter, if set, is the delay after which the caller may retry.
		RetryAfter time.Duration
		Detail     string
		// ConfigVersion is the version of the configuration that the reply is based on.
		ConfigVersion uint64
	}

	// LogEvent writes a line to the log.
	LogEvent struct {
		effectMarker
		ID     LogEventID
		Fields []any
	}
)

// Answer is the result code in a Reply.
type Answer int

const (
	// Accepted means that the call succeeded.
	Accepted Answer = iota
	// NoQueue means that no queue has this host and path.
	NoQueue
	// NoKey means that the key is unknown.
	NoKey
	// NoJob means that there is no such job.
	NoJob
	// Refused means that the call was not carried out and never will be; the caller may
	// retry it.
	Refused
	// Unclear means that the call may have been carried out; the caller may retry it.
	Unclear
	// Malformed means that the request is invalid.
	Malformed
	// Overloaded means that this attempt to submit a job was not accepted and never will be,
	// because the job cannot be served in time; the caller may retry it later.
	Overloaded
)

// LogEventID is the number of a log event; docs/LOG-EVENTS.md explains each event.
type LogEventID int

// Log events.
const (
	LogOwnershipClaimed LogEventID = 600 + iota
	LogOwnershipTakenOver
	LogOwnershipLost
	LogOwnershipResigned
	LogStreamUnavailable
	LogStreamAvailable
	LogConfigApplied
	LogJobAccepted
	LogJobRefused
	LogRunStarted
	LogStartFailed
	LogRunEnded
	LogRunLost
	LogJobFinished
	LogJobCancelled
	LogWorkerUnreachable
	LogWorkerReachable
	LogWorkerRestarted
	LogRecordUnreadable
	LogMachineMaintenance
	LogMachineMove
	LogWave
	LogOrphanedRunStopped
	LogRunThrottled
	LogPoolState
	LogAdvisorAnswered
	LogCallNotServed
	LogCallUnanswered
	LogCallForwarded
	LogOwnershipOffered
	LogInternalError
	LogRemoteNode
	LogFleetState
	LogEvacuation
	LogJobRefusedForLoad
	LogConfigProblem
	_ // 636 is not used any more.
	LogPoolSupplied
	LogRoomReserved
	LogWorkerLost
	LogTaskGivenUp
	LogOwnershipTransferred
	LogAppendRefused
	LogRecordTooLarge
	LogAttemptsUsedUp
	LogStartInLaterIncarnation
	LogMoreEnds
	LogOccurrencesWait
	LogAdviceRequested
	LogStepWaits
)

var logEventTexts = map[LogEventID]string{
	LogOwnershipClaimed: "ownership claimed", LogOwnershipTakenOver: "ownership taken over", LogOwnershipLost: "ownership lost",
	LogOwnershipResigned: "ownership resigned", LogStreamUnavailable: "job stream unavailable", LogStreamAvailable: "job stream available again",
	LogConfigApplied: "configuration in force", LogJobAccepted: "job accepted", LogJobRefused: "job refused",
	LogRunStarted: "run started", LogStartFailed: "start failed", LogRunEnded: "run ended", LogRunLost: "run lost",
	LogJobFinished: "job finished", LogJobCancelled: "job cancelled", LogWorkerUnreachable: "worker unreachable",
	LogWorkerReachable: "worker reachable again", LogWorkerRestarted: "worker restarted", LogRecordUnreadable: "record unreadable",
	LogMachineMaintenance: "machine maintenance", LogMachineMove: "machine move", LogWave: "wave", LogOrphanedRunStopped: "orphaned run stopped",
	LogRunThrottled: "run throttled", LogPoolState: "pool state", LogAdvisorAnswered: "advisor answered",
	LogCallNotServed: "call not served", LogCallUnanswered: "call without a reply",
	LogCallForwarded:     "call forwarded",
	LogOwnershipOffered:  "ownership offered",
	LogInternalError:     "internal error",
	LogRemoteNode:        "remote node",
	LogFleetState:        "fleet state",
	LogEvacuation:        "evacuation",
	LogJobRefusedForLoad: "job refused for load",
	LogConfigProblem:     "configuration problem",
	LogPoolSupplied:      "pool supplied",
	LogRoomReserved:      "room reserved",
	LogWorkerLost:        "worker lost",
	LogTaskGivenUp:       "task given up",

	LogOwnershipTransferred: "ownership transferred",
	LogAppendRefused:        "append refused",
	LogRecordTooLarge:       "record too large",
	LogAttemptsUsedUp:       "attempts used up",

	LogStartInLaterIncarnation: "start reached a later incarnation",
	LogMoreEnds:                "ends left out",
	LogOccurrencesWait:         "occurrences wait",
	LogAdviceRequested:         "advice requested",
	LogStepWaits:               "step waits",
}

// oldMetricLabels holds the metric labels of the log events whose text has changed. Label
// values are kept stable when the text of a log event changes, because dashboards and
// alerts match them.
var oldMetricLabels = map[LogEventID]string{
	LogOwnershipTakenOver: "owning the workers",
	LogOwnershipResigned:  "ownership handed over",
	LogStreamUnavailable:  "job stream lost",
	LogStreamAvailable:    "job stream back",
	LogJobFinished:        "job ended",
	LogWorkerUnreachable:  "worker silent",
	LogWorkerReachable:    "worker answers again",
	LogMachineMaintenance: "machine upkeep",
	LogOrphanedRunStopped: "stray run stopped",
	LogRunThrottled:       "run paced",
	LogAdvisorAnswered:    "advice given",
	LogCallUnanswered:     "call without an answer",
	LogCallForwarded:      "call passed on",
}

var answerNames = map[Answer]string{
	Accepted: "accepted", NoQueue: "no_queue", NoKey: "no_key", NoJob: "no_job",
	Refused: "refused", Unclear: "unclear", Malformed: "malformed", Overloaded: "overloaded",
}

// String implements fmt.Stringer.
func (a Answer) String() string {
	if name, known := answerNames[a]; known {
		return name
	}
	return fmt.Sprintf("answer_%d", int(a))
}

// String implements fmt.Stringer.
func (id LogEventID) String() string { return logEventTexts[id] }

// MetricLabel returns the value of the event label of sardinehead_job_events_total. It
// stays the same when the text of the event changes.
func (id LogEventID) MetricLabel() string {
	if label, ok := oldMetricLabels[id]; ok {
		return label
	}
	return id.String()
}

// Field returns the value of a field of the event, or nil.
func (e LogEvent) Field(name string) any {
	for i := 0; i+1 < len(e.Fields); i += 2 {
		if e.Fields[i] == name {
			return e.Fields[i+1]
		}
	}
	return nil
}

// effectMarker marks a type that embeds it as an effect.
type effectMarker struct{}

// IsEffect implements event.Effect.
func (effectMarker) IsEffect() {}
