// Package retry decides whether and when a failed attempt is retried, and keeps
// the retry budget that bounds retries to a ratio of first attempts.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Result classifies the end of an attempt by what is known about its effect.
type Result uint8

const (
	// Unknown means that bytes were sent and no complete response was received.
	Unknown Result = iota
	// Completed means that the complete response was received.
	Completed
	// NotSent means that no byte of the request reached the upstream.
	NotSent
	// Refused means that the upstream responded that it did not run the
	// request.
	Refused
)

// Failed reports whether the result counts as a failure of the VM.
func (r Result) Failed() bool {
	return r != Completed
}

const (
	// maxAttempts bounds the attempts of one request, including the first.
	maxAttempts = 3
	// initialBackoff is the mean wait before the second attempt when the
	// upstream may be overloaded. It doubles with each further attempt.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff bounds the mean wait.
	maxBackoff = 2 * time.Second
)

// FailedAttempt describes a failed attempt and its request, as far as the decision
// depends on them.
type FailedAttempt struct {
	Now    vocab.Instant
	Result Result
	// Draining is set if the upstream refused the request because it is
	// draining. Any other refusal counts as a sign of overload.
	Draining   bool
	Idempotent bool
	// Replayable is set if the request's body can be sent again.
	Replayable bool
	// ResponseStarted is set if part of a response has already been sent to the
	// caller.
	ResponseStarted bool
	// Attempts is the number of attempts so far, including the failed one.
	Attempts int
	// MayHaveRunBefore is set if an earlier attempt may have run.
	MayHaveRunBefore bool
	// Shedding is set if the queue has recently refused, evicted or expired
	// requests.
	Shedding bool
	// Deadline is the instant before which another attempt must start.
	Deadline vocab.Instant
	// Seed determines the jitter of the wait. Equal seeds give equal waits.
	Seed uint64
}

// Decision states whether and when a request is retried.
type Decision struct {
	// Retry is set if another attempt should follow, provided that the retry
	// budget allows it.
	Retry bool
	// RetryAt is the earliest start of the next attempt.
	RetryAt vocab.Instant
	// Outcome is the outcome to report to the caller if no other attempt
	// follows.
	Outcome vocab.Outcome
}

// Decide decides whether an attempt is followed by another one. A completed
// attempt never is.
func Decide(f FailedAttempt) Decision {
	if f.Result == Completed {
		return Decision{Outcome: vocab.OutcomeCompleted}
	}
	at := f.Now.Add(f.backoff())
	return Decision{
		Retry:   f.safeToRepeat() && f.canRetry() && at < f.Deadline,
		RetryAt: at,
		Outcome: f.outcome(),
	}
}

// didNotRun reports whether this attempt certainly did not run upstream.
func (f FailedAttempt) didNotRun() bool {
	return f.Result == NotSent || f.Result == Refused
}

// outcome returns the outcome of all attempts together.
func (f FailedAttempt) outcome() vocab.Outcome {
	if f.didNotRun() && !f.MayHaveRunBefore {
		return vocab.OutcomeNotRun
	}
	return vocab.OutcomeUnknown
}

// safeToRepeat reports whether the request may be sent again: it is idempotent
// or has certainly not run.
func (f FailedAttempt) safeToRepeat() bool {
	return f.Idempotent || f.didNotRun() && !f.MayHaveRunBefore
}

// canRetry reports whether another attempt is possible and adds no load to an
// overloaded pool. A request that no VM has started adds no load when it moves
// to another VM.
func (f FailedAttempt) canRetry() bool {
	if !f.Replayable || f.ResponseStarted || f.Attempts >= maxAttempts {
		return false
	}
	return !f.Shedding || f.otherVMCanServe()
}

// otherVMCanServe reports whether another VM can take the request at once: the
// request was not sent, or was refused because the VM is draining.
func (f FailedAttempt) otherVMCanServe() bool {
	return f.Result == NotSent || f.Result == Refused && f.Draining
}

// backoff returns the wait before the next attempt: none if another VM can take
// the request, otherwise a random time between 0.5 and 1.5 times a mean that
// doubles with each attempt.
func (f FailedAttempt) backoff() time.Duration {
	if f.otherVMCanServe() {
		return 0
	}
	mean := initialBackoff << min(max(0, f.Attempts-1), maxAttempts)
	mean = min(mean, maxBackoff)
	jitter := rand.New(rand.NewPCG(f.Seed, uint64(f.Attempts))).Float64()
	return mean/2 + time.Duration(jitter*float64(mean))
}
