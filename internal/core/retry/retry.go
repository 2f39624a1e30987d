// Package retry decides whether a failed attempt is followed by another one
// and when, and keeps the budget that bounds retries as a part of first
// attempts.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Result classifies the end of an attempt by what is known of its effect.
type Result uint8

const (
	// Unknown: bytes were sent and no whole answer came.
	Unknown Result = iota
	// Completed: the whole answer came.
	Completed
	// NotSent: no byte of the request reached the upstream.
	NotSent
	// Attested: the upstream answered that it did not run the request.
	Attested
)

// Failed reports whether the result speaks against the VM.
func (r Result) Failed() bool {
	return r != Completed
}

const (
	// maxAttempts is the most attempts of one request.
	maxAttempts = 3
	// firstBackoff is the mean wait before the second attempt after an
	// overload answer. It doubles with each further attempt.
	firstBackoff = 200 * time.Millisecond
	// mostBackoff bounds the mean wait.
	mostBackoff = 2 * time.Second
)

// Facts are what a decision needs to know of a failed attempt.
type Facts struct {
	Now    vocab.Instant
	Result Result
	// Draining is set if the upstream attested because it is leaving; any
	// other attested refusal counts as an overload answer.
	Draining   bool
	Idempotent bool
	// Replayable is set if the request's body can be sent again.
	Replayable bool
	// Answering is set if part of an answer already went to the caller.
	Answering bool
	// Attempts is the number of attempts so far.
	Attempts int
	// RanBefore is set if an earlier attempt may have run.
	RanBefore bool
	// Shedding is set while the queue refuses requests.
	Shedding bool
	// Deadline is the last instant at which another attempt may start.
	Deadline vocab.Instant
	// Seed picks the jitter of the wait. Equal seeds give equal waits.
	Seed uint64
}

// Decision is what follows a failed attempt.
type Decision struct {
	// Retry asks for another attempt, if the budget allows.
	Retry bool
	// RetryAt is the earliest start of the other attempt.
	RetryAt vocab.Instant
	// Outcome is the truth for the caller if no other attempt follows.
	Outcome vocab.Outcome
}

// Decide returns what follows an attempt that did not complete.
func Decide(f Facts) Decision {
	if f.Result == Completed {
		return Decision{Outcome: vocab.OutcomeCompleted}
	}
	at := f.Now.Add(f.wait())
	return Decision{
		Retry:   f.mayRunAgain() && f.fits() && at < f.Deadline,
		RetryAt: at,
		Outcome: f.outcome(),
	}
}

// safe reports whether this attempt certainly did not run.
func (f Facts) safe() bool {
	return f.Result == NotSent || f.Result == Attested
}

// outcome returns what is known of all attempts together.
func (f Facts) outcome() vocab.Outcome {
	if f.safe() && !f.RanBefore {
		return vocab.OutcomeNotRun
	}
	return vocab.OutcomeUnknown
}

// mayRunAgain reports whether another attempt cannot run the request twice, or
// may do so.
func (f Facts) mayRunAgain() bool {
	return f.Idempotent || f.safe() && !f.RanBefore
}

// fits reports whether another attempt can be made and adds no load to an
// overloaded pool. What no VM has begun adds none when it goes to another VM.
func (f Facts) fits() bool {
	if !f.Replayable || f.Answering || f.Attempts >= maxAttempts {
		return false
	}
	return !f.Shedding || f.elsewhere()
}

// elsewhere reports whether another VM can take the request at once.
func (f Facts) elsewhere() bool {
	return f.Result == NotSent || f.Result == Attested && f.Draining
}

// wait returns the time before the next attempt: none if another VM can take
// it, else a random one around an exponentially growing mean.
func (f Facts) wait() time.Duration {
	if f.elsewhere() {
		return 0
	}
	mean := firstBackoff << min(max(0, f.Attempts-1), maxAttempts)
	mean = min(mean, mostBackoff)
	jitter := rand.New(rand.NewPCG(f.Seed, uint64(f.Attempts))).Float64()
	return mean/2 + time.Duration(jitter*float64(mean))
}
