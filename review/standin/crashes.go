package main

import (
	"fmt"
	"time"
)

// playCrashes lets a worker crash while it runs a task, and some seconds later the one on which the
// task has started again. Each is back at its address after a second, as another minion.
func playCrashes(s *site, trouble bool) ([]string, error) {
	if err := s.start(configuration(7, route("order-price", prefix)), 8, 3, 1); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := "5c0e7a21d94b36f8"
	if !s.submit("key-kijiji", prefix, id, "run_ms=6000", oneStep(1, 6000)) {
		return nil, fmt.Errorf("submission %s was not accepted", id)
	}
	for range 2 {
		w := s.awaitBusy(15 * time.Second)
		if w == nil {
			return nil, fmt.Errorf("the task does not run")
		}
		time.Sleep(time.Second)
		if trouble {
			w.crash(time.Second)
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(12 * time.Second)
	return s.shownAsFailed(id), nil
}

// shownAsFailed lists the nodes that show a submission as failed, none of whose tasks has failed
// max_attempts times.
func (s *site) shownAsFailed(id string) []string {
	var breaches []string
	for n := range s.nodes {
		status, state := s.state(n, "key-kijiji", prefix, id)
		if most := s.rec.mostFailed(); state == "failed" && most < maxAttempts {
			breaches = append(breaches, fmt.Sprintf("LOST: the submission is shown as failed by %s (%d); the most ends `failed` of one task are %d, and max_attempts is %d",
				s.nodes[n].name, status, most, maxAttempts))
		}
	}
	return breaches
}

// awaitBusy waits for a worker that runs a task.
func (s *site) awaitBusy(limit time.Duration) *worker {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if w := s.busy(); w != nil {
			return w
		}
	}
	return nil
}
