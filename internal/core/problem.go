package core

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Code is the stable code of an answer made by sardinehead itself.
type Code string

const (
	// CodeNoConfig: the node has no configuration yet.
	CodeNoConfig Code = "no-configuration"
	// CodeNoQueue: no service has the queue's name.
	CodeNoQueue Code = "no-such-queue"
	// CodeKeyMissing: the queue is not open and no key came.
	CodeKeyMissing Code = "key-missing"
	// CodeKeyRefused: the key is unknown, withdrawn, or its secret is wrong.
	CodeKeyRefused Code = "key-refused"
	// CodeTeamRefused: the key's team may not send work to the queue.
	CodeTeamRefused Code = "team-refused"
	// CodeBodyTooLarge: the body exceeds what the queue accepts.
	CodeBodyTooLarge Code = "body-too-large"
	// CodeQueueFull: the queue holds as much as it may.
	CodeQueueFull Code = "queue-full"
	// CodeTeamQueueFull: the team's part of the queue is full.
	CodeTeamQueueFull Code = "team-queue-full"
	// CodeWaitedTooLong: the request waited as long as it may.
	CodeWaitedTooLong Code = "waited-too-long"
	// CodeNoCapacity: no VM could take the request.
	CodeNoCapacity Code = "no-capacity"
	// CodeUpstreamFailed: the attempt ended without a whole answer.
	CodeUpstreamFailed Code = "upstream-failed"
	// CodeTaskRefused: a task or a cancellation was not taken.
	CodeTaskRefused Code = "task-refused"
	// CodeTaskUnknown: a task or a cancellation may have been taken.
	CodeTaskUnknown Code = "task-unknown"
	// CodeNoTask: the team has no task of that name.
	CodeNoTask Code = "no-such-task"
	// CodeTasksUnread: the node has not read the tasks yet.
	CodeTasksUnread Code = "tasks-unread"
	// CodeStopping: the node is stopping; another one takes the request.
	CodeStopping Code = "node-stopping"
)

// Problem is the content of an answer made by sardinehead itself.
type Problem struct {
	Code    Code
	Outcome vocab.Outcome
	// RetryAfter is when trying again makes sense; 0 if it does not.
	RetryAfter time.Duration
	Detail     string
}

func notRun(code Code, retryAfter time.Duration, detail string) Problem {
	return Problem{Code: code, Outcome: vocab.OutcomeNotRun, RetryAfter: retryAfter, Detail: detail}
}
