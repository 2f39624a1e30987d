package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Advice: on some queues only an advisor knows which workers may run a step.
type (
	// Advise asks the advisor about a step: Advised.
	Advise struct {
		out
		Step    StepName
		Workers []WorkerID
		// Within bounds the wait for the answer.
		Within time.Duration
	}

	// AdviceGiven answers an Advise.
	AdviceGiven struct {
		in
		Step    StepName
		OK      bool
		Tickets map[WorkerID]string
		Err     error
	}

	// StepName names a step of an occurrence of a job.
	StepName struct {
		Job              ID
		Occurrence, Step int
	}
)

// ticket allows the tasks of a step on one life of a worker.
type ticket struct {
	text  string
	born  Millis
	until vocab.Instant
}

const (
	// adviceMost is how many workers one question names.
	adviceMost = 30
	// adviceAgain is the time before the advisor is asked again about a step
	// that found no room.
	adviceAgain = 800 * time.Millisecond
	// adviceMargin is what is left of a ticket when it is last used.
	adviceMargin = 500 * time.Millisecond
	// adviceSlack bounds the wait for an answer beyond what the queue says.
	adviceSlack = 1500 * time.Millisecond
)

// ticketFor returns the step's ticket for a worker, if it holds.
func (st *step) ticketFor(w *worker, now vocab.Instant) (string, bool) {
	t, found := st.tickets[w.info.ID]
	return t.text, found && t.born == w.info.Born && now < t.until
}

// advisedOf returns how the queue of a job is advised, or nil.
func (o *owner) advisedOf(w *work) *Advised {
	if q := o.queueOf(w); q != nil {
		return q.Advised
	}
	return nil
}

// askAdvice asks about the workers that have room for a step. One question is
// under way at a time, since the advisor answers each node in turn.
func (o *owner) askAdvice(st *step, workers []*worker) {
	advised := o.advisedOf(st.work)
	if advised == nil || o.advicePending || o.s.now.Sub(st.askedAt) < adviceAgain && st.askedAt != 0 {
		return
	}
	var ask []WorkerID
	for _, w := range workers {
		if _, held := st.ticketFor(w, o.s.now); !held && w.free().Holds(st.spec.Reserved()) && len(ask) < adviceMost {
			ask = append(ask, w.info.ID)
		}
	}
	if len(ask) == 0 {
		return
	}
	o.advicePending, st.askedAt = true, o.s.now
	o.s.emit(Advise{
		Step: st.name(), Workers: ask, Within: advised.Decide + time.Duration(len(ask))*advised.Each + adviceSlack,
	})
}

func (st *step) name() StepName {
	return StepName{st.work.entry.ID, st.occurrence.number, st.number}
}

func (o *owner) adviceGiven(e AdviceGiven) {
	o.advicePending, o.planDue = false, true
	w := o.jobs[e.Step.Job]
	if w == nil || e.Step.Occurrence >= len(w.occurrences) {
		return
	}
	st := w.occurrences[e.Step.Occurrence].steps[e.Step.Step]
	advised := o.advisedOf(w)
	if !e.OK || advised == nil {
		o.s.logEvent(LogAdvisorAnswered, "job", e.Step.Job, "step", e.Step.Step, "error", errorText(e.Err))
		return
	}
	if st.tickets == nil {
		st.tickets = map[WorkerID]ticket{}
	}
	ids := make([]WorkerID, 0, len(e.Tickets))
	for id := range e.Tickets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if host := o.workers[id]; host != nil {
			// The ticket counts from when it was given, at the earliest when
			// the question was sent.
			st.tickets[id] = ticket{e.Tickets[id], host.info.Born, st.askedAt.Add(advised.Valid - adviceMargin)}
		}
	}
	o.s.logEvent(LogAdvisorAnswered, "job", e.Step.Job, "step", e.Step.Step, "granted", len(ids))
}
