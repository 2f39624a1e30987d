package main

import (
	"fmt"
	"time"
)

// playForgotten lets the store forget the history of the system's topic once, while submissions
// are at work.
func playForgotten(s *site, trouble bool) ([]string, error) {
	routes := route("order-price", prefix)
	if err := s.start(configuration(7, routes), 8, 3, 1); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var ids []string
	for i := range 10 {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		steps := []map[string]any{
			{"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500},
			{"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500, "depends_on": []int{0}},
		}
		if !s.submit("key-kijiji", prefix, id, "run_ms=1500", steps) {
			return nil, fmt.Errorf("submission %s was not accepted", id)
		}
		ids = append(ids, id)
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		s.rec.note("store: waiting reads of the system's topic hear nothing")
		s.store.setDeaf("keyed.jobs")
		time.Sleep(time.Second)
		s.rec.note("store: the history of the system's topic before offset %d is dropped", s.store.forget("keyed.jobs"))
		s.store.setDeaf("")
	}
	time.Sleep(12 * time.Second)
	for i, id := range ids {
		for n := range s.nodes {
			s.state(n+i, "key-kijiji", prefix, id)
		}
	}
	return s.rec.twice(), nil
}
