package job

import "github.com/sardinehead/sardinehead/internal/vocab"

// A job is served by the terms under which it was accepted: a later configuration may not have its queue
// or team for a while. Acceptances of earlier versions have no terms; the first configuration with
// the queue that an owner applies gives them.

// Terms are what an accepted job needs of the configuration at its acceptance.
type Terms struct {
	// MaxAttempts is the number of failed runs of a task after which the job fails; 0 in records of
	// earlier versions.
	MaxAttempts int `json:"n,omitempty"`
	// Advisor is set if an advisor decides which workers may run a step.
	Advisor *AdvisorTiming `json:"adv,omitempty"`
	// TeamLimit bounds the resources of the team's running tasks.
	TeamLimit Resources `json:"lim,omitzero"`
}

func (c *Config) terms(q *Queue, team vocab.TeamID) Terms {
	terms := Terms{MaxAttempts: max(1, q.MaxAttempts), Advisor: q.Advisor}
	if t := c.teams[team]; t != nil {
		terms.TeamLimit = t.Limit
	}
	return terms
}

// resolveTerms completes the terms of a job that an earlier version accepted, once its queue is
// configured.
func (o *owner) resolveTerms(j *activeJob) {
	j.maxAttempts = j.acceptance.Terms.MaxAttempts
	if q := o.queueOf(j); j.maxAttempts == 0 && q != nil {
		j.maxAttempts = max(1, q.MaxAttempts)
	}
}

// applyTerms fails the jobs whose attempts turn out to be used up under a new configuration.
func (o *owner) applyTerms() {
	for _, j := range o.jobOrder {
		if j.maxAttempts != 0 || j.terminalPhase != 0 {
			continue
		}
		o.resolveTerms(j)
		for _, occ := range j.occurrences.live {
			for _, st := range occ.steps {
				for _, t := range st.tasks {
					o.failIfExhausted(t)
				}
			}
		}
	}
}

// failIfExhausted fails a job if a task of it has no attempts left. Long-running tasks have no limit of
// attempts.
func (o *owner) failIfExhausted(t *task) {
	j := t.step.job
	if t.completed || t.step.spec.LongRunning || j.terminalPhase != 0 || j.maxAttempts == 0 || t.failures < j.maxAttempts {
		return
	}
	o.s.logEvent(LogAttemptsUsedUp, "task", t.name(), "failed", t.failures, "max_attempts", j.maxAttempts,
		"accepted_with", j.acceptance.Terms.MaxAttempts, "configured", o.queueOf(j) != nil)
	o.finishJob(j, PhaseFailed)
}

// awaitsTerms reports whether the task has failed and it is not known how often it may.
func (t *task) awaitsTerms() bool {
	return t.failures > 0 && t.step.job.maxAttempts == 0 && !t.step.spec.LongRunning
}
