package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// A timed submission of wide occurrences: on sound workers each one is over before the next is due.
	occurrences     = 8
	occurrenceEvery = 3 * time.Second
	occurrenceTasks = 1900
	// slowFactor, slowTime and slowWorkers of slowOf are how some workers turn slow.
	slowFactor  = 6.5
	slowTime    = 7 * time.Second
	slowWorkers = 2
)

// playOverlap lets some workers turn slow while a timed submission is at work, so that its
// occurrences overlap. Then others hand in small submissions.
func playOverlap(s *site, trouble bool) ([]string, error) {
	if err := s.start(configuration(7, route("order-price", prefix)), 12, 3, 1); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	timed := map[string]any{
		"spec":         "run_ms=1500 cpu=8",
		"steps":        []map[string]any{{"count": occurrenceTasks, "cpu": 8, "mem_mb": 1, "estimate_ms": 1500}},
		"repeat_count": occurrences, "first_run_ms": time.Now().Add(time.Second).UnixMilli(), "interval_ms": occurrenceEvery.Milliseconds(),
	}
	if status, _ := s.call(0, http.MethodPost, "key-soko", prefix+"5c0e7a21d94b36f8", timed); status != http.StatusOK {
		return nil, fmt.Errorf("the timed submission was not accepted")
	}
	time.Sleep(6 * time.Second)
	if trouble {
		s.slow(slowFactor)
	}
	time.Sleep(slowTime)
	s.slow(1)
	time.Sleep(20 * time.Second)
	id := "5c0e7a21d94b36f9"
	accepted := s.submit("key-kijiji", prefix, id, "run_ms=500", oneStep(2, 500))
	time.Sleep(20 * time.Second)
	var breaches []string
	for n := range s.nodes {
		if status, state := s.state(n, "key-kijiji", prefix, id); state != "completed" {
			breaches = append(breaches, fmt.Sprintf("LOST: a submission of two tasks (accepted: %v) is shown as %q (%d) by %s 20 s later, with %d runs on the workers",
				accepted, state, status, s.nodes[n].name, s.running()))
		}
	}
	return breaches, nil
}

// slow sets the factor of the run time of runs that start from now on, on some workers.
func (s *site) slow(factor float64) {
	for _, w := range s.workers[:slowWorkers] {
		w.mu.Lock()
		w.slow = factor
		w.mu.Unlock()
	}
	s.rec.note("%d workers take %.1f times as long", slowWorkers, factor)
}

// running is the number of runs on all workers.
func (s *site) running() int {
	n := 0
	for _, w := range s.workers {
		w.mu.Lock()
		n += len(w.runs)
		w.mu.Unlock()
	}
	return n
}
