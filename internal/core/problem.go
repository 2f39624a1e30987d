package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Code identifies the kind of a Problem. Callers depend on the values, which do
// not change.
type Code string

const (
	// CodeNoConfig: the node has no configuration yet.
	CodeNoConfig Code = "no-configuration"
	// CodeNoQueue: no service has the queue's name.
	CodeNoQueue Code = "no-such-queue"
	// CodeKeyMissing: the queue is not open and the request has no key.
	CodeKeyMissing Code = "key-missing"
	// CodeKeyRefused: the key is unknown, withdrawn, or its secret is wrong.
	CodeKeyRefused Code = "key-refused"
	// CodeTeamRefused: the key's team may not send work to the queue.
	CodeTeamRefused Code = "team-refused"
	// CodeBodyTooLarge: the body exceeds what the queue accepts.
	CodeBodyTooLarge Code = "body-too-large"
	// CodeQueueFull: the queue has reached its maximum number of waiting
	// requests.
	CodeQueueFull Code = "queue-full"
	// CodeTeamQueueFull: the team has reached its maximum in the queue.
	CodeTeamQueueFull Code = "team-queue-full"
	// CodeWaitedTooLong: the request did not start within its queue timeout.
	CodeWaitedTooLong Code = "waited-too-long"
	// CodeNoCapacity: the request is not expected to start before its deadline.
	CodeNoCapacity Code = "no-capacity"
	// CodeUpstreamFailed: the last attempt ended without a complete response.
	CodeUpstreamFailed Code = "upstream-failed"
	// CodeTaskRefused: a task or a cancellation was not accepted.
	CodeTaskRefused Code = "task-refused"
	// CodeTaskUnknown: a task or a cancellation may have been accepted.
	CodeTaskUnknown Code = "task-unknown"
	// CodeNoTask: the team has no task with that ID.
	CodeNoTask Code = "no-such-task"
	// CodeTasksUnread: the node has not read the task stream yet.
	CodeTasksUnread Code = "tasks-unread"
	// CodeStopping: the node is stopping; another node accepts the request.
	CodeStopping Code = "node-stopping"
)

// Problem is the content of an error response that sardinehead creates itself,
// in contrast to one from an upstream.
type Problem struct {
	Code    Code
	Outcome vocab.Outcome
	// RetryAfter is the time after which the caller may retry; 0 if a retry would
	// fail as well.
	RetryAfter time.Duration
	Detail     string
}

func notRun(code Code, retryAfter time.Duration, detail string) Problem {
	return Problem{Code: code, Outcome: vocab.OutcomeNotRun, RetryAfter: retryAfter, Detail: detail}
}
