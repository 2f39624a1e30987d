package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// factLife is how long a leaving VM is spread after it was first heard of.
	factLife = 30 * time.Second
	// keyLife is how long a withdrawn key is spread; it covers an outage of the
	// log, after which the record spreads by itself.
	keyLife = 4 * time.Hour
	// reportLife is how long a report is passed on after its counter last grew.
	reportLife = 2 * time.Minute
	// memory is the multiple of a life for which what was heard is remembered.
	// Others may pass it on a little longer; forgotten too early, it would be
	// taken for news and go round for ever.
	memory = 3
)

// State holds the newest report of each process and the facts under way.
type State struct {
	self    vocab.Incarnation
	counter uint64
	heard   map[vocab.Incarnation]*heard
	leaving map[Leaving]vocab.Instant
	keys    map[vocab.KeyID]vocab.Instant
	// sent counts messages; it seeds the order of the reports in each.
	sent uint64
}

// heard is the newest report of a process.
type heard struct {
	report Report
	// at is when its counter last grew here.
	at vocab.Instant
}

// News is what a message told that was not known.
type News struct {
	// Reports are the newer reports, by process.
	Reports   []Report
	Leaving   []Leaving
	Withdrawn []vocab.KeyID
}

// New returns the state of a process that has heard nothing.
func New(self vocab.Incarnation) *State {
	return &State{
		self:    self,
		heard:   map[vocab.Incarnation]*heard{},
		leaving: map[Leaving]vocab.Instant{},
		keys:    map[vocab.KeyID]vocab.Instant{},
	}
}

// SetOwn replaces this process's own report and gives it the next counter.
func (s *State) SetOwn(now vocab.Instant, r Report) {
	s.counter++
	r.Process = s.self
	r.Counter = s.counter
	r.Demand = r.Demand[:min(len(r.Demand), maxDemands)]
	s.heard[s.self] = &heard{report: r, at: now}
}

// AddLeaving spreads a leaving VM. It reports whether that was news.
func (s *State) AddLeaving(now vocab.Instant, l Leaving) bool {
	if _, known := s.leaving[l]; known {
		return false
	}
	s.leaving[l] = now
	return true
}

// AddWithdrawn spreads a withdrawn key. It reports whether that was news.
func (s *State) AddWithdrawn(now vocab.Instant, key vocab.KeyID) bool {
	if _, known := s.keys[key]; known {
		return false
	}
	s.keys[key] = now
	return true
}

// Merge takes in a message and returns what was new.
func (s *State) Merge(now vocab.Instant, m Message) News {
	var news News
	for _, r := range m.Reports {
		if s.merge(now, r) {
			news.Reports = append(news.Reports, r)
		}
	}
	for _, l := range m.Leaving {
		if s.AddLeaving(now, l) {
			news.Leaving = append(news.Leaving, l)
		}
	}
	for _, key := range m.Withdrawn {
		if s.AddWithdrawn(now, key) {
			news.Withdrawn = append(news.Withdrawn, key)
		}
	}
	return news
}

// merge takes in one report and reports whether it told something new. The same
// report in full, if it comes after a brief one, still brings its demand.
func (s *State) merge(now vocab.Instant, r Report) bool {
	if r.Process == s.self {
		return false
	}
	known, ok := s.heard[r.Process]
	if ok && r.Counter < known.report.Counter {
		return false
	}
	if ok && r.Counter == known.report.Counter {
		if r.Brief || !known.report.Brief {
			return false
		}
		known.report = r
		return true
	}
	s.heard[r.Process] = &heard{report: r, at: now}
	return true
}

// Compose returns the message for the next exchange: the own report, and of
// the others as many as fit.
func (s *State) Compose(now vocab.Instant) Message {
	s.expire(now)
	s.sent++
	m := Message{From: s.self}
	bytes := 0
	if own, ok := s.heard[s.self]; ok {
		m.Reports = append(m.Reports, own.report)
		bytes = own.report.size()
	}
	for _, h := range s.others(now) {
		r := h.report
		if bytes+r.size() > maxReportBytes {
			r = r.brief()
		}
		if bytes+r.size() > maxReportBytes+briefBytes {
			continue
		}
		bytes += r.size()
		m.Reports = append(m.Reports, r)
	}
	m.Leaving = latest(s.leaving, now, factLife, compareLeaving)
	m.Withdrawn = latest(s.keys, now, keyLife, cmp.Compare[vocab.KeyID])
	return m
}

// others returns the reports of the others in an order that changes from
// message to message, so that each has the same chance to be passed on.
func (s *State) others(now vocab.Instant) []*heard {
	ids := s.Processes()
	out := make([]*heard, 0, len(ids))
	for _, id := range ids {
		if h := s.heard[id]; now.Sub(h.at) <= reportLife {
			out = append(out, h)
		}
	}
	shuffle := rand.New(rand.NewPCG(uint64(s.self), s.sent))
	shuffle.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Processes returns the other processes heard of, sorted.
func (s *State) Processes() []vocab.Incarnation {
	out := make([]vocab.Incarnation, 0, len(s.heard))
	for id := range s.heard {
		if id != s.self {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Report returns the newest report of a process and when its counter last grew.
func (s *State) Report(id vocab.Incarnation) (Report, vocab.Instant, bool) {
	h, ok := s.heard[id]
	if !ok {
		return Report{}, 0, false
	}
	return h.report, h.at, true
}

func compareLeaving(a, b Leaving) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// latest returns the facts that are still worth spreading, at most maxFacts of
// them, the latest heard first.
func latest[K comparable](m map[K]vocab.Instant, now vocab.Instant, life time.Duration, compare func(a, b K) int) []K {
	out := make([]K, 0, len(m))
	for k, at := range m {
		if now.Sub(at) <= life {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b K) int {
		return cmp.Or(cmp.Compare(m[b], m[a]), compare(a, b))
	})
	return out[:min(len(out), maxFacts)]
}

// expire forgets what nobody passes on any more.
func (s *State) expire(now vocab.Instant) {
	forget(s.leaving, now, factLife)
	forget(s.keys, now, keyLife)
	for id, h := range s.heard {
		if id != s.self && now.Sub(h.at) > memory*reportLife {
			delete(s.heard, id)
		}
	}
}

func forget[K comparable](m map[K]vocab.Instant, now vocab.Instant, life time.Duration) {
	for k, at := range m {
		if now.Sub(at) > memory*life {
			delete(m, k)
		}
	}
}
