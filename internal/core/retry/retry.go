// Package retry decides whether a failed attempt is followed by another one,
// and keeps the budget that bounds retries as a part of first attempts.
package retry

import "github.com/sardinehead/sardinehead/internal/vocab"

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

// maxAttempts is the most attempts of one request.
const maxAttempts = 3

// Facts are what a decision needs to know of a failed attempt.
type Facts struct {
	Result     Result
	Idempotent bool
	// Replayable is set if the request's body can be sent again.
	Replayable bool
	// Answering is set if part of an answer already went to the caller.
	Answering bool
	// Attempts is the number of attempts so far.
	Attempts int
	// RanBefore is set if an earlier attempt may have run.
	RanBefore bool
}

// Decision is what follows a failed attempt.
type Decision struct {
	// Retry asks for another attempt, if the budget allows.
	Retry bool
	// Outcome is the truth for the caller if no other attempt follows.
	Outcome vocab.Outcome
}

// Decide returns what follows an attempt that did not complete.
func Decide(f Facts) Decision {
	if f.Result == Completed {
		return Decision{Outcome: vocab.OutcomeCompleted}
	}
	safe := f.Result == NotSent || f.Result == Attested
	outcome := vocab.OutcomeUnknown
	if safe && !f.RanBefore {
		outcome = vocab.OutcomeNotRun
	}
	allowed := safe || f.Idempotent
	sendable := f.Replayable && !f.Answering
	return Decision{
		Retry:   allowed && sendable && f.Attempts < maxAttempts,
		Outcome: outcome,
	}
}

// Budget bounds retries as a part of first attempts, so that retries cannot
// multiply an overload.
type Budget struct {
	tokens float64
}

const (
	// retriesPerAttempt is the number of retries that one first attempt earns.
	retriesPerAttempt = 0.1
	// budgetCap is the most retries that can be saved up.
	budgetCap = 20
)

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: budgetCap}
}

// Earn records a first attempt.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+retriesPerAttempt, budgetCap)
}

// Spend takes one retry from the budget, or returns false if none is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
