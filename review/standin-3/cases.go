package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// clock: a minion starts while the time of day of its machine is ahead, crashes after it was set back, and
// starts again under its id.
func clock(s *site, trouble bool) (verdict, error) {
	s.configure([]string{"orders"}, route("orders", "orders", nil))
	for i := range 7 {
		if err := s.addWorker(newWorker(s.log, fmt.Sprintf("i-%d", i), "orders", "a")); err != nil {
			return verdict{}, err
		}
	}
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	w := &worker{id: "i-9", service: "orders", kind: "b", cpu: workerCPU, log: s.log}
	if trouble {
		w.setClock(2 * time.Second)
	}
	w.start()
	if err := s.addWorker(w); err != nil {
		return verdict{}, err
	}
	const id = "00000000c10c0001"
	path := "/orders/" + id
	if status, _ := s.call(owner, http.MethodPost, path, tenantKey[0], submission(runs, 2, 1000, 4*time.Second, map[string]any{"requires": "b"})); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the submission got %d", status)
	}
	for deadline := time.Now().Add(1500 * time.Millisecond); len(s.log.startsOf(id)) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return verdict{}, fmt.Errorf("the tasks have not started before the crash")
		}
	}
	w.setClock(0)
	w.crash()
	time.Sleep(300 * time.Millisecond)
	w.start()
	crashed := time.Now()
	var state string
	for time.Since(crashed) < 45*time.Second && state != "completed" {
		time.Sleep(3 * time.Second)
		_, state = s.state(owner, path, tenantKey[0])
	}
	again := 0
	for _, st := range s.log.startsOf(id) {
		if st.at.After(crashed) {
			again++
		}
	}
	return verdict{state != "completed", fmt.Sprintf("LOST: %.0f s after the minion is back the submission is %q, and its tasks were started %d times since",
		time.Since(crashed).Seconds(), state, again)}, nil
}

// advice: the policy of a queue allows a few of many minions.
func advice(s *site, trouble bool) (verdict, error) {
	const workers, allowed, tries = 40, 4, 3
	may := map[string]bool{}
	s.adviser = &adviser{
		allows: func(_, worker string) bool { return may[worker] }, decide: 50 * time.Millisecond, each: 2 * time.Millisecond,
		issuedAt: map[string]time.Time{}, log: s.log,
	}
	for i := range workers {
		id := fmt.Sprintf("i-%02d", i)
		may[id] = trouble && i >= workers-allowed || !trouble && i%(workers/allowed) == 0
		if err := s.addWorker(newWorker(s.log, id, "orders", "a")); err != nil {
			return verdict{}, err
		}
	}
	s.configure([]string{"orders"}, route("orders", "orders", s.adviser.setting()))
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	id := func(i int) string { return fmt.Sprintf("00000000ad01%04x", i) }
	for i := range tries {
		if status, _ := s.call(owner, http.MethodPost, "/orders/"+id(i), tenantKey[0], submission(runs, 2, 1000, time.Second, nil)); status != http.StatusOK {
			return verdict{}, fmt.Errorf("the submission got %d", status)
		}
	}
	const watch = 30 * time.Second
	time.Sleep(watch)
	never := 0
	for i := range tries {
		_, state := s.state(owner, "/orders/"+id(i), tenantKey[0])
		if len(s.log.startsOf(id(i))) == 0 {
			never++
			s.log.write("submission %s is %s after %s, and nothing of it has run", id(i), state, watch)
		}
	}
	return verdict{never > 0, fmt.Sprintf("LOST: %d of %d submissions had nothing running for %s, while the %d minions that may run them were idle",
		never, tries, watch, allowed)}, nil
}

// waiting: some submissions that last have a task for which the policy leaves no minion.
func waiting(s *site, trouble bool) (verdict, error) {
	const workers, allowed, lasting, tries = 12, 4, 5, 12
	s.adviser = &adviser{
		allows: func(step, worker string) bool {
			return !strings.HasPrefix(step, "00000000a571") || worker < fmt.Sprintf("i-%02d", allowed)
		},
		decide: 100 * time.Millisecond, each: 10 * time.Millisecond, issuedAt: map[string]time.Time{}, log: s.log,
	}
	for i := range workers {
		if err := s.addWorker(newWorker(s.log, fmt.Sprintf("i-%02d", i), "orders", "a")); err != nil {
			return verdict{}, err
		}
	}
	s.configure([]string{"orders"}, route("orders", "orders", s.adviser.setting()))
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	count := allowed
	if trouble {
		count = allowed + 1
	}
	for i := range lasting {
		s.call(owner, http.MethodPost, fmt.Sprintf("/orders/00000000a571%04x", i), tenantKey[0],
			submission(lasts, count, 1000, time.Second, map[string]any{"long_running": true, "anti_affinity": 1, "may_miss": 1}))
	}
	time.Sleep(8 * time.Second)
	id := func(i int) string { return fmt.Sprintf("00000000ad02%04x", i) }
	sent := make([]time.Time, tries)
	for i := range tries {
		sent[i] = time.Now()
		if status, _ := s.call(owner, http.MethodPost, "/orders/"+id(i), tenantKey[1], submission(runs, 2, 1000, time.Second, nil)); status != http.StatusOK {
			return verdict{}, fmt.Errorf("the submission got %d", status)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(20 * time.Second)
	late, never := 0, 0
	var longest time.Duration
	for i := range tries {
		wait := time.Since(sent[i])
		if starts := s.log.startsOf(id(i)); len(starts) > 0 {
			wait = starts[0].at.Sub(sent[i])
		} else {
			never++
		}
		if wait > 3*time.Second {
			late++
		}
		longest = max(longest, wait)
	}
	return verdict{late > 0, fmt.Sprintf("LOST: %d of %d submissions of another tenant had nothing running for over 3 s, %d of them until the end, up to %.1f s, on minions that were nearly idle",
		late, tries, never, longest.Seconds())}, nil
}

// otherWriter: an entry without some fields, from another writer, stands under the id of a minion.
func otherWriter(s *site, trouble bool) (verdict, error) {
	s.configure([]string{"orders"}, route("orders", "orders", nil))
	for i := range 4 {
		if err := s.addWorker(newWorker(s.log, fmt.Sprintf("i-%d", i), "orders", "a")); err != nil {
			return verdict{}, err
		}
	}
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	const tries = 3
	var twice []string
	for i := range tries {
		id := fmt.Sprintf("00000000e117%04x", i)
		if status, _ := s.call(owner, http.MethodPost, "/orders/"+id, tenantKey[0], submission(runs, 2, 1000, 6*time.Second, nil)); status != http.StatusOK {
			return verdict{}, fmt.Errorf("the submission got %d", status)
		}
		time.Sleep(2 * time.Second)
		if trouble {
			s.writeOddEntry(id)
		}
		time.Sleep(12 * time.Second)
		twice = append(twice, s.log.overlaps(id)...)
	}
	for _, text := range twice {
		s.log.write("two runs at the same time: %s", text)
	}
	return verdict{len(twice) > 0, fmt.Sprintf("TWICE: %d starts of a task while another run of it was running on a minion that is up", len(twice))}, nil
}

// writeOddEntry writes an entry under the id of the worker that runs a submission, as another writer might: without
// the fields version, slots and seq, and with the address of another worker.
func (s *site) writeOddEntry(id string) {
	starts := s.log.startsOf(id)
	if len(starts) == 0 {
		return
	}
	for i, w := range s.workers {
		if w.id != starts[0].worker {
			continue
		}
		odd := w.entry()
		delete(odd, "version")
		delete(odd, "slots")
		delete(odd, "seq")
		odd["address"] = s.workers[(i+1)%len(s.workers)].address
		s.log.write("store: another writer writes an entry under %s, without version, slots and seq, with the address of %s",
			w.id, s.workers[(i+1)%len(s.workers)].id)
		s.store.put("keyed.servers", w.id, odd)
	}
}

// pace: the channel of the call that paces a task down is reset.
func pace(s *site, trouble bool) (verdict, error) {
	s.configure([]string{"orders"}, route("orders", "orders", nil))
	w := newWorker(s.log, "i-0", "orders", "a")
	w.baseTail = 20
	if trouble {
		w.lostPaces = 1
	}
	if err := s.addWorker(w); err != nil {
		return verdict{}, err
	}
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	const target = 100
	for i, step := range []map[string]any{
		{"long_running": true, "image": "web", "target_ms": target}, {"long_running": true, "image": "batch", "fills": true},
	} {
		id := fmt.Sprintf("00000000face%04x", i)
		s.call(owner, http.MethodPost, "/orders/"+id, tenantKey[0], submission([]taskKind{lasts, fills}[i], 1, 4000, time.Second, step))
		time.Sleep(time.Second)
	}
	var over, longest time.Duration
	const look = 100 * time.Millisecond
	for range 250 {
		time.Sleep(look)
		w.mu.Lock()
		tail := w.tail()
		w.mu.Unlock()
		if over += look; tail <= target {
			over = 0
		}
		longest = max(longest, over)
	}
	return verdict{longest > 7*time.Second, fmt.Sprintf("HARM: the tail was above the target of %d ms for %s on end", target, longest)}, nil
}

// sameID: two consumers choose the same ID on different routes.
func sameID(s *site, trouble bool) (verdict, error) {
	s.configure([]string{"orders", "warehouse"}, route("orders", "orders", nil), route("warehouse", "warehouse", nil))
	for i, service := range []string{"orders", "warehouse"} {
		if err := s.addWorker(newWorker(s.log, fmt.Sprintf("i-%d", i), service, "a")); err != nil {
			return verdict{}, err
		}
	}
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	const first = "0000000000001234"
	second := first
	if !trouble {
		second = "0000000000001235"
	}
	s.call(owner, http.MethodPost, "/orders/"+first, tenantKey[0], submission(runs, 1, 1000, time.Second, nil))
	time.Sleep(time.Second)
	status, _ := s.call(owner, http.MethodPost, "/warehouse/"+second, tenantKey[1], submission(runs, 1, 1000, time.Second, nil))
	time.Sleep(6 * time.Second)
	asked, state := s.state(owner, "/warehouse/"+second, tenantKey[1])
	ran := 0
	for _, st := range s.log.startsOf(second) {
		if st.service == "warehouse" {
			ran++
		}
	}
	return verdict{
		status == http.StatusOK && (asked == http.StatusGone || ran == 0),
		fmt.Sprintf("LOST: the second submission got %d; 6 s later its state is answered with %d %s, and %d of its tasks have run", status, asked, state, ran),
	}, nil
}

// kind: a minion crashes, and its next life under the same id is of another kind.
func kind(s *site, trouble bool) (verdict, error) {
	s.configure([]string{"orders"}, route("orders", "orders", nil))
	var last *worker
	for i := range 4 {
		last = newWorker(s.log, fmt.Sprintf("i-%d", i), "orders", []string{"a", "a", "b", "b"}[i])
		if err := s.addWorker(last); err != nil {
			return verdict{}, err
		}
	}
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	const lives = 6
	sent, wrong := 0, 0
	for range lives {
		for i := range 25 {
			if i == 5 {
				last.crash()
			}
			if i == 8 {
				if trouble {
					last.kind = map[string]string{"a": "b", "b": "a"}[last.kind]
				}
				last.start()
			}
			id := fmt.Sprintf("00000000b1d0%04x", sent)
			sent++
			s.call(owner, http.MethodPost, "/orders/"+id, tenantKey[0], submission(runs, 4, 1000, 800*time.Millisecond, map[string]any{"requires": "b"}))
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	for i := range sent {
		for _, st := range s.log.startsOf(fmt.Sprintf("00000000b1d0%04x", i)) {
			if st.kind != "b" {
				wrong++
			}
		}
	}
	return verdict{wrong > 0, fmt.Sprintf("ROUTE: %d tasks that require the label b started on a minion without it", wrong)}, nil
}

// large: submissions of large tasks wait for room on all minions of a pool.
func large(s *site, trouble bool) (verdict, error) {
	const workers = 4
	s.configure([]string{"orders"}, route("orders", "orders", nil))
	for i := range workers {
		if err := s.addWorker(newWorker(s.log, fmt.Sprintf("i-%d", i), "orders", "a")); err != nil {
			return verdict{}, err
		}
	}
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	// One task on each minion: a quarter of the capacity.
	s.call(owner, http.MethodPost, "/orders/00000000ba5e0000", tenantKey[0],
		submission(runs, workers, 4000, 75*time.Second, map[string]any{"anti_affinity": 1}))
	time.Sleep(time.Second)
	if trouble {
		for i := range workers {
			s.call(owner, http.MethodPost, fmt.Sprintf("/orders/00000000b166%04x", i), tenantKey[0], submission(runs, 1, 13000, 20*time.Second, nil))
		}
	}
	time.Sleep(time.Second)
	const id = "00000000a5700000"
	if status, _ := s.call(owner, http.MethodPost, "/orders/"+id, tenantKey[1],
		submission(lasts, 1, 4000, time.Second, map[string]any{"long_running": true})); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the submission got %d", status)
	}
	// The tasks of the first submission run on for 70 s.
	sent, waited := time.Now(), time.Duration(0)
	for !s.log.running(id) && waited < 60*time.Second {
		time.Sleep(20 * time.Millisecond)
		waited = time.Since(sent)
	}
	return verdict{waited > 3*time.Second, fmt.Sprintf("LOST: a submission that lasts had nothing running for %.1f s while three quarters of the capacity of the service were idle", waited.Seconds())}, nil
}

// crash: a minion crashes under a task of a queue whose minions a service decides about.
func crash(s *site, trouble bool) (verdict, error) {
	s.adviser = &adviser{
		allows: func(_, _ string) bool { return true }, decide: 50 * time.Millisecond, each: 2 * time.Millisecond,
		issuedAt: map[string]time.Time{}, log: s.log,
	}
	for i := range 8 {
		if err := s.addWorker(newWorker(s.log, fmt.Sprintf("i-%d", i), "orders", "a")); err != nil {
			return verdict{}, err
		}
	}
	s.configure([]string{"orders"}, route("orders", "orders", s.adviser.setting()))
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	const id = "00000000c4a50001"
	path := "/orders/" + id
	if status, _ := s.call(owner, http.MethodPost, path, tenantKey[0], submission(runs, 1, 1000, 6*time.Second, nil)); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the submission got %d", status)
	}
	time.Sleep(4 * time.Second)
	if starts := s.log.startsOf(id); len(starts) == 0 {
		return verdict{}, fmt.Errorf("no task has started")
	} else if trouble {
		for _, w := range s.workers {
			if w.id == starts[0].worker {
				w.crash()
				time.Sleep(time.Second)
				w.start()
			}
		}
	}
	var idle, longest time.Duration
	var state string
	const look = 100 * time.Millisecond
	for begun := time.Now(); time.Since(begun) < 60*time.Second && state != "completed"; {
		for range 30 {
			time.Sleep(look)
			if idle += look; s.log.running(id) {
				idle = 0
			}
			longest = max(longest, idle)
		}
		_, state = s.state(owner, path, tenantKey[0])
	}
	return verdict{state != "completed", fmt.Sprintf("LOST: the submission is %q and had nothing running for %.0f s, while all minions of the service were up and idle",
		state, longest.Seconds())}, nil
}

// lateCopy: a start gets no answer and is carried out seconds later, by the next life of the minion. The
// owner has sent it again meanwhile, and the task has ended done.
func lateCopy(s *site, trouble bool) (verdict, error) {
	s.configure([]string{"orders"}, route("orders", "orders", nil))
	for i := range 8 {
		if err := s.addWorker(newWorker(s.log, fmt.Sprintf("i-%d", i), "orders", "a")); err != nil {
			return verdict{}, err
		}
	}
	if _, err := s.addNode("front-a-1"); err != nil {
		return verdict{}, err
	}
	owner, err := s.awaitOwner()
	if err != nil {
		return verdict{}, err
	}
	const tries = 4
	var twice []string
	for i := range tries {
		// The minion has another task, so that it is polled for the next 2.5 s.
		other := fmt.Sprintf("00000000be51%04x", i)
		s.call(owner, http.MethodPost, "/orders/"+other, tenantKey[0], submission(runs, 1, 1000, 2500*time.Millisecond, nil))
		time.Sleep(300 * time.Millisecond)
		starts := s.log.startsOf(other)
		if len(starts) == 0 {
			return verdict{}, fmt.Errorf("no task has started")
		}
		w := s.worker(starts[0].worker)
		w.loseStart(trouble)
		id := fmt.Sprintf("000000001a7e%04x", i)
		if status, _ := s.call(owner, http.MethodPost, "/orders/"+id, tenantKey[0], submission(runs, 1, 1000, time.Second, nil)); status != http.StatusOK {
			return verdict{}, fmt.Errorf("the submission got %d", status)
		}
		time.Sleep(3 * time.Second)
		s.state(owner, "/orders/"+id, tenantKey[0])
		w.loseStart(false)
		w.crash()
		time.Sleep(500 * time.Millisecond)
		w.start()
		time.Sleep(6 * time.Second)
		twice = append(twice, s.log.afterDone(id)...)
		twice = append(twice, s.log.overlaps(id)...)
	}
	for _, text := range twice {
		s.log.write("started again: %s", text)
	}
	return verdict{len(twice) > 0, fmt.Sprintf("TWICE: %d starts of a task after a run of it had ended done", len(twice))}, nil
}
