package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// leavingTTL is the time for which this process sends a leaving VM after it
	// first received the fact.
	leavingTTL = 30 * time.Second
	// withdrawnKeyTTL is the time for which this process sends a withdrawn key. It covers
	// an outage of the log, after which nodes read the withdrawal from the log.
	withdrawnKeyTTL = 4 * time.Hour
	// reportTTL is the time for which a report is forwarded after its counter
	// last grew.
	reportTTL = 2 * time.Minute
	// retentionFactor times its TTL is the time for which a fact is kept. Other processes
	// received it later and send it for longer: if it were deleted as soon as its TTL
	// ended, it would be taken for new and circulate forever.
	retentionFactor = 3
)

// State holds the newest report of each process and the facts that are being
// spread.
type State struct {
	self vocab.Incarnation
	// counter is that of the newest own report.
	counter uint64
	reports map[vocab.Incarnation]*receivedReport
	// leaving and withdrawn hold when each fact was added or first received.
	leaving   map[Leaving]vocab.Instant
	withdrawn map[vocab.KeyID]vocab.Instant
	// messagesSent seeds the order of the reports in each message.
	messagesSent uint64
}

// receivedReport is the newest report of a process.
type receivedReport struct {
	report Report
	// advancedAt is the time when this process first received the report's
	// counter.
	advancedAt vocab.Instant
}

// Updates holds the contents of a message that were new to the receiver.
type Updates struct {
	// Reports holds the reports that replaced an earlier one or are the first of
	// their process.
	Reports   []Report
	Leaving   []Leaving
	Withdrawn []vocab.KeyID
}

// New returns the state of the process self, without any report or fact.
func New(self vocab.Incarnation) *State {
	return &State{
		self:      self,
		reports:   map[vocab.Incarnation]*receivedReport{},
		leaving:   map[Leaving]vocab.Instant{},
		withdrawn: map[vocab.KeyID]vocab.Instant{},
	}
}

// SetOwnReport replaces this process's own report. It sets the report's process and
// counter, and drops demand rows beyond maxDemands.
func (s *State) SetOwnReport(now vocab.Instant, r Report) {
	s.counter++
	r.Process = s.self
	r.Counter = s.counter
	r.Demand = r.Demand[:min(len(r.Demand), maxDemands)]
	s.reports[s.self] = &receivedReport{report: r, advancedAt: now}
}

// AddLeaving adds a leaving VM to the facts to spread. It returns false if the
// VM is already among them.
func (s *State) AddLeaving(now vocab.Instant, l Leaving) bool {
	if _, known := s.leaving[l]; known {
		return false
	}
	s.leaving[l] = now
	return true
}

// AddWithdrawn adds a withdrawn key to the facts to spread. It returns false if
// the key is already among them.
func (s *State) AddWithdrawn(now vocab.Instant, key vocab.KeyID) bool {
	if _, known := s.withdrawn[key]; known {
		return false
	}
	s.withdrawn[key] = now
	return true
}

// Merge adds the contents of a message to the state and returns those that were
// new.
func (s *State) Merge(now vocab.Instant, m Message) Updates {
	var updates Updates
	for _, r := range m.Reports {
		if s.mergeReport(now, r) {
			updates.Reports = append(updates.Reports, r)
		}
	}
	for _, l := range m.Leaving {
		if s.AddLeaving(now, l) {
			updates.Leaving = append(updates.Leaving, l)
		}
	}
	for _, key := range m.Withdrawn {
		if s.AddWithdrawn(now, key) {
			updates.Withdrawn = append(updates.Withdrawn, key)
		}
	}
	return updates
}

// mergeReport adds one report and returns whether it was new. The full report
// also counts as new after a brief one with the same counter, for its demand.
func (s *State) mergeReport(now vocab.Instant, r Report) bool {
	if r.Process == s.self {
		return false
	}
	previous, ok := s.reports[r.Process]
	if ok && r.Counter < previous.report.Counter {
		return false
	}
	if ok && r.Counter == previous.report.Counter {
		if r.Brief || !previous.report.Brief {
			return false
		}
		previous.report = r
		return true
	}
	s.reports[r.Process] = &receivedReport{report: r, advancedAt: now}
	return true
}

// Compose returns the message for the next exchange. It holds the own report and,
// as far as they fit, those of other processes, without their demand if only that
// fits.
func (s *State) Compose(now vocab.Instant) Message {
	s.removeExpired(now)
	s.messagesSent++
	m := Message{From: s.self}
	bytes := 0
	if own, ok := s.reports[s.self]; ok {
		m.Reports = append(m.Reports, own.report)
		bytes = own.report.estimatedBytes()
	}
	for _, received := range s.reportsToForward(now) {
		r := received.report
		if bytes+r.estimatedBytes() > maxReportBytes {
			r = r.withoutDemand()
		}
		if bytes+r.estimatedBytes() > maxReportBytes+extraBriefBytes {
			continue
		}
		bytes += r.estimatedBytes()
		m.Reports = append(m.Reports, r)
	}
	m.Leaving = newest(s.leaving, now, leavingTTL, compareLeaving)
	m.Withdrawn = newest(s.withdrawn, now, withdrawnKeyTTL, cmp.Compare[vocab.KeyID])
	return m
}

// reportsToForward returns the reports of other processes whose TTL has not
// ended. It shuffles them for each message, so that all of them are equally
// likely to fit.
func (s *State) reportsToForward(now vocab.Instant) []*receivedReport {
	ids := s.Processes()
	out := make([]*receivedReport, 0, len(ids))
	for _, id := range ids {
		if received := s.reports[id]; now.Sub(received.advancedAt) <= reportTTL {
			out = append(out, received)
		}
	}
	shuffle := rand.New(rand.NewPCG(uint64(s.self), s.messagesSent))
	shuffle.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Processes returns the other processes with a known report, sorted.
func (s *State) Processes() []vocab.Incarnation {
	out := make([]vocab.Incarnation, 0, len(s.reports))
	for id := range s.reports {
		if id != s.self {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Report returns the newest report of a process and when this process first
// received its counter. It returns false if there is none.
func (s *State) Report(id vocab.Incarnation) (Report, vocab.Instant, bool) {
	received, ok := s.reports[id]
	if !ok {
		return Report{}, 0, false
	}
	return received.report, received.advancedAt, true
}

func compareLeaving(a, b Leaving) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// newest returns the facts whose TTL has not ended, the most recently received
// first, and at most maxFactsPerKind of them.
func newest[K comparable](receivedAt map[K]vocab.Instant, now vocab.Instant, ttl time.Duration, compare func(a, b K) int) []K {
	out := make([]K, 0, len(receivedAt))
	for k, at := range receivedAt {
		if now.Sub(at) <= ttl {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b K) int {
		return cmp.Or(cmp.Compare(receivedAt[b], receivedAt[a]), compare(a, b))
	})
	return out[:min(len(out), maxFactsPerKind)]
}

// removeExpired deletes the facts and the reports of other processes that are
// older than their retention time, so that no process should still send them.
func (s *State) removeExpired(now vocab.Instant) {
	removeOlder(s.leaving, now, leavingTTL)
	removeOlder(s.withdrawn, now, withdrawnKeyTTL)
	for id, received := range s.reports {
		if id != s.self && now.Sub(received.advancedAt) > retentionFactor*reportTTL {
			delete(s.reports, id)
		}
	}
}

// removeOlder deletes the facts received more than retentionFactor times the TTL
// ago.
func removeOlder[K comparable](receivedAt map[K]vocab.Instant, now vocab.Instant, ttl time.Duration) {
	for k, at := range receivedAt {
		if now.Sub(at) > retentionFactor*ttl {
			delete(receivedAt, k)
		}
	}
}
