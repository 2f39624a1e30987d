package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log with topics of one partition. A topic whose name
// begins with "keyed." keeps the newest record of each key.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// ownerNode is the node that last made a fenced append.
	ownerNode string
}

type topic struct {
	records   []entry
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type entry struct {
	key   string
	value []byte
}

// producer is the state of fenced appends with one name.
type producer struct {
	epoch, seq uint64
	started    bool
	// answers holds the answers to the appends of the epoch, by sequence number.
	answers map[uint64]appended
}

type appended struct {
	Offset    int64  `json:"offset"`
	EndOffset int64  `json:"end_offset"`
	Reason    string `json:"reason,omitempty"`
}

// storeLatency is the time that an answer of the store takes.
const storeLatency = 4 * time.Millisecond

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(e entry) {
	t.newest[e.key] = len(t.records)
	t.records = append(t.records, e)
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as operators and workers do.
func (s *store) put(name, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(entry{key, raw})
}

// owner returns the node that last made a fenced append.
func (s *store) owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerNode
}

// handler serves the calls of one node. Each node has a listener of its own, as the platform tells its
// callers apart by address.
func (s *store) handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, node) })
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.page)
	return mux
}

func (s *store) append(w http.ResponseWriter, r *http.Request, node string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	name := query.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	if query.Get("producer") != "" {
		s.ownerNode = node
	}
	status, answer := s.topic(name).append(query.Get, body)
	s.mu.Unlock()
	time.Sleep(storeLatency)
	writeJSON(w, status, answer)
}

func (t *topic) append(query func(string) string, body []byte) (int, appended) {
	end := int64(len(t.records))
	if at := query("at"); at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, appended{EndOffset: end}
	}
	var p *producer
	var seq uint64
	if name := query("producer"); name != "" {
		epoch, _ := strconv.ParseUint(query("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(query("seq"), 10, 64)
		p = t.producers[name]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, answers: map[uint64]appended{}}
			t.producers[name] = p
		}
		earlier, repeated := p.answers[seq]
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, appended{Reason: "fenced"}
		case repeated && p.started && seq+5 > p.seq:
			return http.StatusOK, earlier
		case p.started && seq != p.seq+1:
			return http.StatusConflict, appended{Reason: "seq"}
		}
		p.started, p.seq = true, seq
	}
	for _, e := range decode(body) {
		t.add(e)
	}
	answer := appended{Offset: end, EndOffset: int64(len(t.records))}
	if p != nil {
		p.answers[seq] = answer
	}
	return http.StatusOK, answer
}

func decode(body []byte) []entry {
	var list []entry
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		raw := body[4 : 4+size]
		keyEnd := 1 + int(raw[0])
		list = append(list, entry{string(raw[1:keyEnd]), slices.Clone(raw[keyEnd:])})
		body = body[4+size:]
	}
	return list
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(query.Get("max_kb"))
	if maxKB == 0 {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	time.Sleep(storeLatency)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		body := t.encodeFrom(from, maxKB<<10)
		changed := t.changed
		s.mu.Unlock()
		if len(body) > 16 || waitMS == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (t *topic) encodeFrom(from int64, maxBytes int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for offset := from; offset < int64(len(t.records)); offset++ {
		e := t.records[offset]
		if offset > from && len(body)+5+len(e.key)+len(e.value) > maxBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
		body = append(body, byte(len(e.key)))
		body = append(body, e.key...)
		body = append(body, e.value...)
	}
	return body
}

// page serves the newest records in the order of their keys.
func (s *store) page(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after := query.Get("depends_on")
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	var keys []string
	for key, offset := range t.newest {
		if len(t.records[offset].value) > 0 && strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	const most = 500
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), most)] {
		items = append(items, map[string]any{"key": key, "value": t.records[t.newest[key]].value, "offset": t.newest[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > most, "end_offset": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
