// Package advice decides in which order steps ask an advisor, and about how many workers.
//
// An advisor handles one request of a node at a time, so that all steps of all teams share its time. A request
// is worth that time only if its answer can let a task start.
package advice

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// MaxWorkers bounds the workers named in one request, and with it the time for which a request keeps the
	// others waiting.
	MaxWorkers = 30
	// classDelay is the time by which a step asks later for each service class that is served before its own.
	classDelay = 500 * time.Millisecond
	// firstWait is the wait before a step repeats a request that let no task start. It doubles with each
	// further one, up to maxWait.
	firstWait = 800 * time.Millisecond
	maxWait   = 2 * time.Second
	// maxDelay bounds the time by which a step asks later because of its earlier requests.
	maxDelay = 30 * time.Second
	// failurePause is the pause after a request without an answer, for all steps. It doubles with each
	// further one, up to maxWait.
	failurePause = 100 * time.Millisecond
)

// Candidate is a step to which a ticket is all that is missing.
type Candidate struct {
	Team vocab.TeamID
	// Class is the service class of its job; lower ones are served first.
	Class int
	// Since is the time since which it waits for its turn.
	Since vocab.Instant
	// Requests is the number of its requests since a task of it last started.
	Requests int
}

// turnAt is the time by which candidates of one team are ordered: they ask in the order in which they began to
// wait, with a delay for a later class and for requests that led to no start. All delays are bounded, so that
// each candidate gets its turn.
func (c Candidate) turnAt() vocab.Instant {
	return c.Since.Add(time.Duration(c.Class)*classDelay + backoff(firstWait, c.Requests, maxDelay))
}

// Wait is the time after a request before the step repeats it, if its answer and those to so many requests in a
// row let no task start.
func Wait(unused int) time.Duration { return backoff(firstWait, unused, maxWait) }

// Pause is the time for which no step asks after so many failed requests in a row.
func Pause(failures int) time.Duration { return backoff(failurePause, failures, maxWait) }

// backoff returns 0 for no try, first for one, and twice as much for each further one, up to limit.
func backoff(first time.Duration, tries int, limit time.Duration) time.Duration {
	if tries == 0 {
		return 0
	}
	wait := first
	for range tries - 1 {
		if wait >= limit {
			break
		}
		wait *= 2
	}
	return min(wait, limit)
}

// Turns shares the advisor's time between teams by start-time fair queueing: the team that has used the least
// goes first, and a team that did not ask earns no credit.
type Turns struct {
	// virtual is the virtual time: the start of the last turn. finish holds the end of each team's last turn
	// if it is later than that.
	virtual time.Duration
	finish  map[vocab.TeamID]time.Duration
}

// Order returns the indexes of the candidates in the order of their turns.
func (ts *Turns) Order(list []Candidate) []int {
	type turn struct {
		index int
		start time.Duration
		at    vocab.Instant
	}
	turns := make([]turn, len(list))
	for i, c := range list {
		turns[i] = turn{i, ts.start(c.Team), c.turnAt()}
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.at, b.at)) })
	order := make([]int, len(turns))
	for i, t := range turns {
		order[i] = t.index
	}
	return order
}

func (ts *Turns) start(team vocab.TeamID) time.Duration { return max(ts.virtual, ts.finish[team]) }

// Charge counts a turn of a team that has taken a time.
func (ts *Turns) Charge(team vocab.TeamID, taken time.Duration) {
	start := ts.start(team)
	if ts.finish == nil {
		ts.finish = map[vocab.TeamID]time.Duration{}
	}
	ts.finish[team] = start + taken
	ts.virtual = start
	for other, finish := range ts.finish {
		if finish <= ts.virtual {
			delete(ts.finish, other)
		}
	}
}

// Timing is the stated timing of an advisor: an answer takes Decide, plus Each per worker named, and its tickets
// are valid for Valid.
type Timing struct{ Decide, Each, Valid time.Duration }

// Worker is a worker that a step could use if it had a ticket for it.
type Worker struct {
	// Allowed is set if the advisor has allowed it before.
	Allowed bool
	// Tasks is the number of tasks of the step for which it has room.
	Tasks int
}

// Count returns about how many of the workers, in the order in which placement would choose them, a step with so
// many waiting tasks asks: as many as the tasks can use if the advisor allows a share of them. Where the step
// does not know whether it may use a worker, as many more are named as take no longer than the decision itself.
// The answer must come early enough for its tickets to be used.
func Count(tasks int, ranked []Worker, share float64, timing Timing) int {
	limit, atLeast := MaxWorkers, MaxWorkers
	if timing.Each > 0 {
		atLeast = int(timing.Decide / timing.Each)
		if timing.Valid > 0 {
			limit = min(limit, max(1, int((timing.Valid/2-timing.Decide)/timing.Each)))
		}
	}
	expected, unknown := 0.0, false
	for n, w := range ranked {
		if n == limit || expected >= float64(tasks) && (!unknown || n >= atLeast) {
			return n
		}
		if w.Allowed {
			expected += float64(w.Tasks)
			continue
		}
		unknown = true
		expected += share * float64(w.Tasks)
	}
	return len(ranked)
}

// Share estimates which part of the workers an advisor allows.
type Share struct{ asked, granted float64 }

const (
	// priorAnswers is the weight of the estimate that a step starts from, in workers.
	priorAnswers = 2
	// initialShare is the estimate without any answer.
	initialShare = 0.5
	// maxAnswers bounds the weight of earlier answers, in workers.
	maxAnswers = 200
)

// Observe counts the workers of an answer.
func (s *Share) Observe(asked, granted int) {
	s.asked, s.granted = s.asked+float64(asked), s.granted+float64(granted)
	if s.asked > maxAnswers {
		s.asked, s.granted = s.asked/2, s.granted/2
	}
}

// Of returns the estimate for a step that knows so many allowed and refused workers.
func (s Share) Of(allowed, refused int) float64 {
	prior := (s.granted + initialShare*priorAnswers) / (s.asked + priorAnswers)
	return (float64(allowed) + prior*priorAnswers) / float64(allowed+refused+priorAnswers)
}
