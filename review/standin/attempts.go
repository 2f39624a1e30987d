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
