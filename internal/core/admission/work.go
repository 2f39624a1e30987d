package admission

import (
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// A Queue decides about requests that occupy one slot each. WorkAhead decides about work of
// very different sizes that waits for a share of a pool's capacity: whether new work can be
// in time at all, and when a refused caller should return.

// WorkAhead is the work that is served before new work.
type WorkAhead struct {
	// cores is the highest capacity that may serve the work.
	cores   float64
	seconds float64 // of all teams, in core-seconds
	teams   []teamWork
	index   map[vocab.TeamID]int
}

// teamWork is the work of one team, in core-seconds, and the team's limit in cores; 0 means
// that it has none.
type teamWork struct {
	seconds, limit float64
}

// NewWorkAhead returns an empty WorkAhead for a pool that may use this many cores; 0 means
// that the capacity is not known.
func NewWorkAhead(cores float64) *WorkAhead {
	return &WorkAhead{cores: cores, index: map[vocab.TeamID]int{}}
}

// maxWorkWait bounds the result of MinWait.
const maxWorkWait = time.Hour

// Add adds work of a team. limit is the team's limit in cores, 0 for none.
func (a *WorkAhead) Add(team vocab.TeamID, limit, coreSeconds float64) {
	i, known := a.index[team]
	if !known {
		i = len(a.teams)
		a.index[team] = i
		a.teams = append(a.teams, teamWork{limit: limit})
	}
	a.teams[i].seconds += coreSeconds
	a.seconds += coreSeconds
}

// MinWait is a lower bound of the time until new work of a team starts: the time in which the
// pool serves what comes before it, or in which the team's limit lets it.
func (a *WorkAhead) MinWait(team vocab.TeamID) time.Duration {
	wait := a.poolWait()
	if i, known := a.index[team]; known && a.teams[i].limit > 0 {
		wait = max(wait, a.teams[i].seconds/a.teams[i].limit)
	}
	return time.Duration(min(wait, maxWorkWait.Seconds()) * float64(time.Second))
}

// waitIterations bounds the steps to the pool's wait; each one brings it closer from above.
const waitIterations = 8

// poolWait is the time in which the pool serves the work, in seconds. In that time it cannot
// serve more of a team than the team's limit allows.
func (a *WorkAhead) poolWait() float64 {
	if a.cores <= 0 {
		return 0
	}
	wait := a.seconds / a.cores
	for range waitIterations {
		served := 0.0
		for _, t := range a.teams {
			if t.limit > 0 {
				served += min(t.seconds, t.limit*wait)
			} else {
				served += t.seconds
			}
		}
		if served/a.cores >= wait {
			break
		}
		wait = served / a.cores
	}
	return wait
}

// WorkTimes are the times of new work relative to its arrival.
type WorkTimes struct {
	// MinWait is a lower bound of the time until it starts, Chain the run time of its longest
	// chain of dependent steps.
	MinWait, Chain time.Duration
	// WorthlessAfter is the time after which its result has no value for the caller.
	WorthlessAfter time.Duration
}

// Excess is the time by which the work completes too late to have a value, even if it is
// served as early as possible; it is negative for work that may be in time.
func (t WorkTimes) Excess() time.Duration { return t.MinWait + t.Chain - t.WorthlessAfter }

// ReturnPolicy spreads refused callers over the time in which their work can be served.
type ReturnPolicy struct {
	// Min and Max bound the delay.
	Min, Max time.Duration
}

// Delay returns the time after which a refused caller should return: when the same work
// would be admitted, plus a position in the time that the pool needs for the recently
// refused work. Equal seeds give equal positions.
func (p ReturnPolicy) Delay(t WorkTimes, drain time.Duration, seed uint64) time.Duration {
	position := rand.New(rand.NewPCG(seed, seed)).Float64()
	spread := time.Duration(position * float64(max(p.Min, drain)))
	return min(max(p.Min, t.Excess())+spread, p.Max)
}
