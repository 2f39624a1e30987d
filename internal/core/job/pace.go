package job

import "time"

const (
	// paceDownPart of its target is the tail latency of a serving task at
	// which the tasks that fill beside it are held.
	paceDownPart = 0.85
	// paceUpPart of its target is the tail below which they go on.
	paceUpPart = 0.5
	// paceHold is the least time between holding and going on.
	paceHold = 2 * time.Second
	// paceStep is by how many percent they go on each time.
	paceStep = 25
)

// paceFillers holds the tasks that fill beside a serving task that nears its
// target, and lets them go on in steps once it is well below.
func (o *owner) paceFillers(w *worker) {
	worst := 0.0
	for _, t := range w.tasks {
		if t.step.spec.TailTargetMS > 0 && t.stage == running {
			worst = max(worst, float64(t.tailMS)/float64(t.step.spec.TailTargetMS))
		}
	}
	for _, t := range w.tasks {
		if !t.step.spec.Filler || t.stage != running {
			continue
		}
		switch {
		case worst > paceDownPart && t.pace > 0:
			w.paceUpAt = o.s.now.Add(paceHold)
			o.pace(t, 0)
		case worst < paceUpPart && t.pace < 100 && o.s.now >= w.paceUpAt:
			o.pace(t, min(100, t.pace+paceStep))
		}
	}
	if worst < paceUpPart && o.s.now >= w.paceUpAt {
		w.paceUpAt = o.s.now.Add(paceHold / 4)
	}
}

func (o *owner) pace(t *task, percent int) {
	t.pace = percent
	o.s.logEvent(NotePaced, "task", t.name(), "run", t.lastRun, "worker", t.worker.info.ID, "percent", percent)
	o.s.emit(Pace{
		Worker: t.worker.info.ID, Address: t.worker.info.Address, Fence: o.fence, Task: t.name(), Run: t.lastRun,
		Percent: percent,
	})
}
