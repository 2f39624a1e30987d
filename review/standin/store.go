package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, written from PROTOCOL.md: topics of one
// partition, appends with producer, epoch and seq, reads that wait, and the newest record of
// each key.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	rec    *recorder
	// recordBytes is the largest record, as `record_bytes` of the settings says.
	recordBytes int
	// deaf is the topic whose waiting reads hear nothing for now.
	deaf string
}

type topic struct {
	records   []keyed
	first     int64
	newest    map[string]int64
	producers map[string]*producer
	changed   chan struct{}
}

type keyed struct {
	key   string
	value []byte
}

type producer struct {
	epoch, next uint64
	started     bool
	answers     map[uint64]appendAnswer
}

type appendAnswer struct {
	Offset    int64  `json:"offset"`
	EndOffset int64  `json:"end_offset"`
	Reason    string `json:"reason,omitempty"`
}

func newStore(rec *recorder) *store {
	return &store{topics: map[string]*topic{}, rec: rec, recordBytes: 262144}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return int64(len(t.records)) }

func (t *topic) add(r keyed) {
	t.newest[r.key] = t.end()
	t.records = append(t.records, r)
}

func (t *topic) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as the operator or a worker does.
func (s *store) put(name, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.add(keyed{key, raw})
	t.wake()
}

// setDeaf makes the waiting reads of a topic hear nothing, or ends that with "".
func (s *store) setDeaf(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.deaf
	s.deaf = name
	if before != "" {
		s.topic(before).wake()
	}
}

// forget drops the history of a topic: its records can't be read by offset any more. The newest
// record of each key is retained.
func (s *store) forget(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = t.end()
	t.wake()
	return t.first
}

func (s *store) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
}

// usualAnswer is the time that the store takes to answer.
const usualAnswer = 4 * time.Millisecond

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(usualAnswer)
	status, answer := s.append(r.URL.Query().Get, body)
	writeJSON(w, status, answer)
}

func (s *store) append(query func(string) string, body []byte) (int, appendAnswer) {
	records, largest, ok := decodeRecords(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := query("topic")
	if !ok || name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, appendAnswer{}
	}
	if largest > s.recordBytes {
		s.rec.note("store: append to %s refused, a record has %d bytes", name, largest)
		return http.StatusBadRequest, appendAnswer{}
	}
	t := s.topic(name)
	if at := query("at"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		return http.StatusPreconditionFailed, appendAnswer{EndOffset: t.end()}
	}
	var p *producer
	var seq uint64
	if id := query("producer"); id != "" {
		epoch, _ := strconv.ParseUint(query("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(query("seq"), 10, 64)
		p = t.producers[id]
		if p == nil {
			p = &producer{}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, appendAnswer{Reason: "fenced"}
		case epoch > p.epoch || p.answers == nil:
			*p = producer{epoch: epoch, answers: map[uint64]appendAnswer{}}
		}
		if answer, repeated := p.answers[seq]; repeated && seq+5 >= p.next {
			return http.StatusOK, answer
		}
		if p.started && seq != p.next {
			return http.StatusConflict, appendAnswer{Reason: "seq"}
		}
	}
	answer := appendAnswer{Offset: t.end()}
	for _, r := range records {
		t.add(r)
	}
	answer.EndOffset = t.end()
	if p != nil {
		p.started, p.next, p.answers[seq] = true, seq+1, answer
	}
	t.wake()
	return http.StatusOK, answer
}

func decodeRecords(body []byte) (records []keyed, largest int, ok bool) {
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || size < 1+int(body[4]) {
			return nil, 0, false
		}
		keyEnd := 5 + int(body[4])
		records = append(records, keyed{string(body[5:keyEnd]), slices.Clone(body[keyEnd : 4+size])})
		largest = max(largest, size)
		body = body[4+size:]
	}
	return records, largest, len(body) == 0
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	time.Sleep(usualAnswer)
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	timedOut := waitMS == 0
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		first, changed := t.first, t.changed
		deaf := waitMS > 0 && s.deaf == query.Get("topic")
		body := t.encode(from, maxKB<<10, deaf)
		s.mu.Unlock()
		if from < first {
			s.rec.note("store: read of %s from %d answered 410, the first offset is %d", query.Get("topic"), from, first)
			writeJSON(w, http.StatusGone, map[string]int64{"first_offset": first})
			return
		}
		if len(body) > 16 || timedOut {
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (t *topic) encode(from int64, limit int, deaf bool) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	if deaf {
		return body
	}
	for offset := max(from, t.first); offset < t.end(); offset++ {
		r := t.records[offset]
		if len(body) > 16 && len(body)+len(r.key)+len(r.value)+5 > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(body, r.key...)
		body = append(body, r.value...)
	}
	return body
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	query := r.URL.Query()
	after := query.Get("depends_on")
	time.Sleep(usualAnswer)
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	var keys []string
	for key, offset := range t.newest {
		if key > after && len(t.records[offset].value) > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		record := t.records[t.newest[key]]
		size += len(record.value)
		if len(items) == 500 || size > 1<<20 && len(items) > 0 {
			break
		}
		items = append(items, item{key, record.value, t.newest[key]})
	}
	answer := map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": t.end()}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
