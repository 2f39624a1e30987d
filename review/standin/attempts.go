package main

import (
	"fmt"
	"time"
)

// playAttempts drops a route for some seconds while a submission of it is at work, and adds it
// again. One run of each task fails meanwhile; the route allows three attempts.
func playAttempts(s *site, trouble bool) ([]string, error) {
	orders, other := route("order-price", prefix), route("credit-recon", "/puxa500/")
	if err := s.start(configuration(7, orders, other), 6, 3, 1); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	id := "5c0e7a21d94b36f8"
	if !s.submit("key-kijiji", prefix, id, "run_ms=5000 fail=1", oneStep(3, 5000)) {
		return nil, fmt.Errorf("submission %s was not accepted", id)
	}
	time.Sleep(time.Second)
	if trouble {
		s.configure(configuration(9, other))
	}
	time.Sleep(7 * time.Second)
	s.configure(configuration(12, orders, other))
	time.Sleep(6 * time.Second)
	return s.shownAsFailed(id), nil
}

// mostFailed returns the largest number of runs of one task that have ended failed.
func (r *recorder) mostFailed() int {
	failed, most := map[string]int{}, 0
	for _, t := range r.all() {
		if t.how == "failed" {
			failed[t.task]++
			most = max(most, failed[t.task])
		}
	}
	return most
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
