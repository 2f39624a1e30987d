package main

import (
	"fmt"
	"time"
)

// idleTime is the time for which no worker has work before the case.
const idleTime = 75 * time.Second

// cutTime is the length of the cut.
const cutTime = 5500 * time.Millisecond

// playLease cuts one worker off for cutTime, soon after it has got a task. Before that the
// workers have been idle. Their steady clocks are 2 % slow.
func playLease(s *site, trouble bool) ([]string, error) {
	if err := s.start(configuration(7, route("order-price", prefix)), 8, 3, 0.98); err != nil {
		return nil, err
	}
	s.rec.note("the workers are idle for %s", idleTime)
	time.Sleep(idleTime)
	id := "5c0e7a21d94b36f8"
	if !s.submit("key-kijiji", prefix, id, "run_ms=16000", oneStep(1, 16000)) {
		return nil, fmt.Errorf("submission %s was not accepted", id)
	}
	w := s.awaitBusy(3 * time.Second)
	if w == nil {
		return nil, fmt.Errorf("the task has not started")
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		w.setCut(true)
	}
	time.Sleep(cutTime)
	w.setCut(false)
	time.Sleep(14 * time.Second)
	s.state(0, "key-kijiji", prefix, id)
	return s.rec.twice(), nil
}

// busy returns a worker that runs a task, or nil.
func (s *site) busy() *worker {
	for _, w := range s.workers {
		w.mu.Lock()
		n := len(w.runs)
		w.mu.Unlock()
		if n > 0 {
			return w
		}
	}
	return nil
}
