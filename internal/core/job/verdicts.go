package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// What the owner knows of the advisors' policies, see advice.go.

const (
	// ticketExpiryMargin is the time before its expiry from which a ticket is no longer used, at most the
	// part ticketExpiryShare of its validity.
	ticketExpiryMargin = 500 * time.Millisecond
	ticketExpiryShare  = 0.25
	// maxVerdicts bounds the verdicts in memory, each of about 80 bytes. Beyond it those of the steps that
	// asked the longest time ago are forgotten, and have to be requested again.
	maxVerdicts = 100_000
)

// verdict is the advisor's answer about a step and one incarnation of a worker. The ticket of a worker that is
// allowed permits the tasks of the step to start until it expires, shortly after usableUntil.
type verdict struct {
	incarnation Millis
	allowed     bool
	ticket      string
	usableUntil vocab.Instant
}

// isUsable reports whether tasks may be placed on the worker with the ticket.
func (v verdict) isUsable(now vocab.Instant) bool { return v.ticket != "" && now < v.usableUntil }

// verdictOn returns the advisor's answer about the worker's present incarnation, if there is one.
func (st *step) verdictOn(w *worker) (verdict, bool) {
	if len(st.advice.verdicts) == 0 {
		return verdict{}, false
	}
	v, found := st.advice.verdicts[w]
	return v, found && v.incarnation == w.info.Incarnation
}

// ticketFor returns the step's ticket for a worker and whether it is still valid for the
// worker's incarnation.
func (st *step) ticketFor(w *worker, now vocab.Instant) (string, bool) {
	v, found := st.verdictOn(w)
	return v.ticket, found && v.isUsable(now)
}

// dropTicket forgets a ticket that a worker has refused.
func (st *step) dropTicket(w *worker) {
	if v, found := st.advice.verdicts[w]; found {
		v.ticket = ""
		st.advice.verdicts[w] = v
	}
}

// keepVerdicts keeps the answers about the workers of a request, and returns how many are allowed. An answer holds
// for the incarnation that the request was about.
func (o *owner) keepVerdicts(r *adviceRequest, e AdviceReceived, advisor *AdvisorTiming) int {
	st := r.step
	st.advice.candidates, st.advice.candidatesOf = nil, 0
	if st.advice.verdicts == nil {
		st.advice.verdicts = map[*worker]verdict{}
	}
	margin := min(ticketExpiryMargin, time.Duration(ticketExpiryShare*float64(advisor.Valid)))
	granted := 0
	for i, w := range r.workers {
		if o.workers[w.info.ID] != w {
			continue // It has been forgotten.
		}
		v := verdict{incarnation: r.incarnations[i]}
		v.ticket, v.allowed = e.Tickets[w.info.ID]
		if v.allowed {
			granted++
			// The ticket's validity counts from when the advisor issued it, which is no
			// earlier than when the request was sent.
			v.usableUntil = r.sentAt.Add(advisor.Valid - margin)
		}
		st.advice.verdicts[w] = v
	}
	return granted
}

// boundVerdicts counts the verdicts in memory. If there are too many, it drops those of the steps that asked the
// longest time ago, but for the one that has asked last.
func (o *owner) boundVerdicts(last *step) {
	o.advisor.verdicts = 0
	var steps []*step
	o.eachStep(func(st *step) {
		if st.completed == len(st.tasks) {
			st.advice = stepAdvice{}
		}
		if n := len(st.advice.verdicts); n > 0 {
			o.advisor.verdicts += n
			steps = append(steps, st)
		}
	})
	if o.advisor.verdicts <= maxVerdicts {
		return
	}
	slices.SortStableFunc(steps, func(a, b *step) int { return cmp.Compare(a.advice.requestedAt, b.advice.requestedAt) })
	for _, st := range steps {
		if o.advisor.verdicts <= maxVerdicts {
			return
		}
		if st != last {
			o.advisor.verdicts -= len(st.advice.verdicts)
			st.advice.verdicts, st.advice.candidates, st.advice.candidatesOf = nil, nil, 0
		}
	}
}

// forgetVerdicts drops the verdicts on workers that are forgotten.
func (o *owner) forgetVerdicts(gone []*worker) {
	if len(gone) == 0 || o.advisor.verdicts == 0 {
		return
	}
	o.eachStep(func(st *step) {
		for _, w := range gone {
			delete(st.advice.verdicts, w)
		}
	})
}

// poolGeneration is a set of incarnations of workers.
type poolGeneration struct {
	number       uint64
	workers      []*worker
	incarnations []Millis
}

// isOf reports whether the generation consists of the present incarnations of workers.
func (g poolGeneration) isOf(workers []*worker) bool {
	if len(workers) != len(g.workers) {
		return false
	}
	for i, w := range workers {
		if w != g.workers[i] || w.info.Incarnation != g.incarnations[i] {
			return false
		}
	}
	return true
}

// identifyPools sets the generations of pools, as far as steps know verdicts.
func (o *owner) identifyPools(pools map[vocab.PoolID]*poolRoom) {
	if o.advisor.verdicts == 0 {
		return
	}
	for id, p := range pools {
		g := o.advisor.pools[id]
		if !g.isOf(p.workers) {
			o.advisor.generations++
			g = poolGeneration{number: o.advisor.generations, workers: p.workers}
			for _, w := range p.workers {
				g.incarnations = append(g.incarnations, w.info.Incarnation)
			}
			o.advisor.pools[id] = g
		}
		p.generation, p.workers = g.number, g.workers
	}
}

// notRefused returns the workers of a pool without those that the advisor has refused to the step, or with them if
// these are few.
func (st *step) notRefused(p *poolRoom) []*worker {
	a := &st.advice
	if p.generation == 0 || len(a.verdicts) <= len(p.workers)/2 {
		return p.workers
	}
	if a.candidatesOf == p.generation {
		return a.candidates
	}
	var list []*worker
	for _, w := range p.workers {
		if v, known := st.verdictOn(w); !known || v.allowed {
			list = append(list, w)
		}
	}
	if len(list) > len(p.workers)/2 {
		list = p.workers // Shared by all steps.
	}
	a.candidates, a.candidatesOf = list, p.generation
	return list
}

// eachStep calls a function for each step of each job in memory.
func (o *owner) eachStep(do func(*step)) {
	for _, j := range o.jobOrder {
		for _, occ := range j.occurrences.live {
			for _, st := range occ.steps {
				do(st)
			}
		}
	}
}
