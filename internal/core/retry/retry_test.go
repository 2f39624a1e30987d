package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestDecisionsAreSafe checks the invariants of the decisions on random failed
// attempts: the reported outcome is true, no request that is not idempotent may run
// twice, and a retry that adds load waits and does not happen while shedding.
func TestDecisionsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			checkDecision(t, drawFailedAttempt(t))
		}
	})
}

func drawFailedAttempt(t *rapid.T) FailedAttempt {
	return FailedAttempt{
		Now:              vocab.Instant(time.Hour),
		Result:           rapid.SampledFrom([]Result{Unknown, NotSent, Refused}).Draw(t, "result"),
		Draining:         rapid.Bool().Draw(t, "draining"),
		Idempotent:       rapid.Bool().Draw(t, "idempotent"),
		Replayable:       rapid.IntRange(0, 9).Draw(t, "replayable") > 0,
		ResponseStarted:  rapid.IntRange(0, 9).Draw(t, "response started") == 0,
		Attempts:         rapid.IntRange(1, maxAttempts).Draw(t, "attempts"),
		MayHaveRunBefore: rapid.IntRange(0, 3).Draw(t, "ran before") == 0,
		Shedding:         rapid.Bool().Draw(t, "shedding"),
		Deadline:         vocab.Instant(time.Hour).Add(rapid.SampledFrom([]time.Duration{-1, 250 * time.Millisecond, 5 * time.Second}).Draw(t, "left")),
		Seed:             rapid.Uint64().Draw(t, "seed"),
	}
}

func checkDecision(t *rapid.T, f FailedAttempt) {
	d := Decide(f)
	mayHaveRun := f.Result == Unknown || f.MayHaveRunBefore
	if mayHaveRun && d.Outcome != vocab.OutcomeUnknown {
		t.Fatalf("outcome is %v, but the request may have run", d.Outcome)
	}
	if !mayHaveRun && d.Outcome != vocab.OutcomeNotRun {
		t.Fatalf("outcome is %v, but the request did not run", d.Outcome)
	}
	if d != Decide(f) {
		t.Fatal("equal attempts give different decisions")
	}
	if !d.Retry {
		return
	}
	if mayHaveRun && !f.Idempotent {
		t.Fatal("runs a non-idempotent request twice")
	}
	if !f.Replayable || f.ResponseStarted || f.Attempts >= maxAttempts || d.RetryAt >= f.Deadline {
		t.Fatal("decided to retry where no further attempt is possible")
	}
	addsLoad := f.Result == Unknown || f.Result == Refused && !f.Draining
	if addsLoad && (f.Shedding || d.RetryAt.Sub(f.Now) < initialBackoff/2) {
		t.Fatal("adds load at once or while shedding")
	}
}

// TestBudgetBoundsRetries checks the ratio of retries to first attempts over any
// sequence of attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		first, retries := 0, 0
		for _, earn := range rapid.SliceOf(rapid.Bool()).Draw(t, "sequence") {
			if earn {
				first++
				b.Earn()
			}
			for range 3 {
				if b.Spend() {
					retries++
				}
			}
			if float64(retries) > retriesPerAttempt*float64(first)+maxSavedRetries {
				t.Fatalf("%d retries for %d first attempts", retries, first)
			}
		}
	})
}
