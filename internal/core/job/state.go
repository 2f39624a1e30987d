package job

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Identity is what a process is told about itself at its start.
type Identity struct {
	Node        vocab.NodeID
	Incarnation vocab.Incarnation
	Zone        vocab.ZoneID
	// Peers is the address at which other nodes reach this one, or empty.
	Peers string
	// Strength is the node's share of a core; stronger nodes claim earlier.
	Strength float64
}

// Clock is the time of one event.
type Clock struct {
	// Now does not stop while the process or its VM is suspended.
	Now vocab.Instant
	// Wall is the time of day.
	Wall Millis
}

// State is the jobs side of one entry node.
type State struct {
	self   Identity
	set    Settings
	now    vocab.Instant
	wall   Millis
	config *Config
	ledger *Ledger
	stream stream
	claim  claim
	owner  *owner
	callers
	passing map[CallID]*passing
	// shown is the latest configuration by which another node answered for this one.
	shown uint64
	// slowUntil is when calls are no longer passed on after a slow append.
	slowUntil vocab.Instant
	// slowFor is how long that was after the last slow append, 0 after a fast one.
	slowFor     time.Duration
	waves       map[int64]*waveState
	waveNumbers []int64 // keys of waves, sorted
	// announced is set once the node told its strength, volunteeredAt when it last did.
	announced     bool
	volunteeredAt vocab.Instant
	stopping      bool
	effects       []event.Effect
}

// stream is what the node knows of its reading of the job stream.
type stream struct {
	loading, loaded bool
	// known is set once a first load succeeded: a node that loads anew goes on
	// serving callers.
	known       bool
	reading     bool
	next        int64
	readAt      vocab.Instant // when the last read that succeeded was sent
	dueAt       vocab.Instant
	folding     bool          // while a load is folded
	took        time.Duration // time of the last read that did not wait
	failedSince vocab.Instant // 0 while reads succeed
}

// New returns the state of a process that has just started.
func New(self Identity, set Settings) *State {
	return &State{
		self: self, set: set, ledger: newLedger(), waves: map[int64]*waveState{},
		passing: map[CallID]*passing{},
		callers: callers{appends: map[uint64]*acceptBatch{}},
	}
}

// Step takes one event and returns what is to be done. The returned slice is
// valid until the next call.
func (s *State) Step(clock Clock, ev event.Event) []event.Effect {
	s.now = max(s.now, clock.Now)
	s.wall = clock.Wall
	s.effects = s.effects[:0]
	s.handle(ev)
	if s.owner != nil {
		s.owner.settle()
	}
	return s.effects
}

func (s *State) handle(ev event.Event) {
	switch e := ev.(type) {
	case Tick:
		s.tick()
	case ConfigRead:
		s.configRead(e)
	case WaveOrdered:
		s.handleWaveOrdered(e)
	case StreamLoaded:
		s.streamLoaded(e)
	case StreamRead:
		s.streamRead(e)
	case StreamFailed:
		s.streamFailed(e)
	case Appended:
		s.appended(e)
	case Submit:
		s.submit(e)
	case Query:
		s.query(e)
	case Cancel:
		s.cancel(e)
	case Backlog:
		s.backlog(e)
	case PassedOn:
		s.passedOn(e)
	case OwnershipOffered:
		s.ownershipOffered(e)
	case Stopping:
		s.stop()
	default:
		if s.owner != nil {
			s.owner.handle(ev)
		}
	}
}

func (s *State) emit(e event.Effect) { s.effects = append(s.effects, e) }

func (s *State) note(id NoteID, fields ...any) { s.emit(Note{Event: id, Fields: fields}) }

func (s *State) configRead(e ConfigRead) {
	if s.config != nil && e.Config.Version <= s.config.Version {
		return
	}
	e.Config.Index()
	s.config = e.Config
	s.note(NoteConfig, "version", e.Config.Version, "queues", len(e.Config.Queues), "teams", len(e.Config.Teams))
	if s.owner != nil {
		s.owner.planDue = true
	}
}

func (s *State) tick() {
	s.follow()
	s.announce()
	s.flushBatch()
	s.passOverdue()
	s.claimIfSilent()
	if s.owner != nil {
		s.owner.tick()
	}
	s.forgetEnded()
}

// Ready reports whether the node should get new callers.
func (s *State) Ready() bool {
	return s.config != nil && s.stream.known && !s.stopping
}

// Owning reports whether this node is the owner of the workers.
func (s *State) Owning() bool { return s.owner != nil && s.owner.stage == stageActive }

// follow loads or reads the stream if it is time.
func (s *State) follow() {
	if s.stream.loading || s.stream.reading || s.now < s.stream.dueAt {
		return
	}
	if !s.stream.loaded {
		s.stream.loading = true
		s.emit(LoadStream{})
		return
	}
	s.stream.reading = true
	read := ReadStream{From: s.stream.next}
	if s.owner != nil {
		read.Wait = readWait
	}
	s.emit(read)
}

// readSoon makes the next read due at once.
func (s *State) readSoon() {
	s.stream.dueAt = s.now
	s.follow()
}

func (s *State) streamLoaded(e StreamLoaded) {
	s.stream.loading, s.stream.loaded, s.stream.known = false, true, true
	s.stream.next = e.From
	if s.claim.quietSince == 0 {
		// A process that starts has to hear nothing of the owner for as long as
		// the others.
		s.claim.quietSince = s.now
	}
	old := s.ledger
	s.ledger = newLedger()
	// Only the last owner counts, not those that the fold passes through.
	s.stream.folding = true
	quiet := s.claim.quietSince
	s.foldAll(inFoldOrder(e.Records))
	// What is loaded may be old: it is no sign that the owner lives.
	s.claim.quietSince = quiet
	s.stream.folding = false
	s.ownerChanged(0)
	if old.ownerFence > s.ledger.ownerFence {
		s.ledger.owner, s.ledger.ownerFence = old.owner, old.ownerFence
	}
	s.readSoon()
}

// inFoldOrder sorts the newest records of all keys. The owner's own record comes
// first: claims that it has decided must not take effect again.
func inFoldOrder(records []Record) []Record {
	sorted := slices.Clone(records)
	slices.SortFunc(sorted, func(a, b Record) int {
		if (a.Key == ownerKey) != (b.Key == ownerKey) {
			if a.Key == ownerKey {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Offset, b.Offset)
	})
	return sorted
}

func (s *State) streamRead(e StreamRead) {
	s.stream.reading = false
	if !s.stream.loaded {
		s.follow()
		return
	}
	if s.stream.failedSince != 0 {
		s.note(NoteStreamBack, "after_ms", s.now.Sub(s.stream.failedSince).Milliseconds(), "offset", e.Next)
		s.stream.failedSince = 0
		s.claim.quietSince = s.now
	}
	s.stream.next, s.stream.readAt = e.Next, e.SentAt
	if s.owner == nil {
		// It falls slowly: when a slow store recovers, what the owner sent meanwhile
		// is still on its way.
		s.stream.took = max(s.now.Sub(e.SentAt), time.Duration(tookKept*float64(s.stream.took)))
	}
	s.stream.dueAt = s.now.Add(s.readPause())
	s.foldAll(e.Records)
	if e.Next < e.End {
		s.stream.dueAt = s.now
	}
	if e.Next >= e.End {
		// A read that was cut at its size may lack what was asked for.
		s.answerQueries(e.SentAt)
	}
	if s.owner != nil {
		s.owner.streamRead(e)
	}
	s.follow()
}

func (s *State) readPause() time.Duration {
	if s.owner != nil {
		return ownerReadPause
	}
	if s.self.Strength < clearlyWeaker*s.ledger.strongest {
		return weakPause
	}
	return followPause
}

func (s *State) streamFailed(e StreamFailed) {
	s.stream.loading, s.stream.reading = false, false
	s.stream.dueAt = s.now.Add(retryPause)
	if e.Trimmed {
		s.stream.loaded = false
		s.stream.dueAt = s.now
		return
	}
	if s.stream.failedSince == 0 {
		s.stream.failedSince = s.now
		s.note(NoteStreamLost, "offset", s.stream.next, "error", errText(e.Err))
	}
	s.failQueries()
}

// foldAll folds records and tells the owner of what others wrote.
func (s *State) foldAll(records []Record) {
	for _, r := range records {
		if s.owner != nil && s.owner.wrote(r) {
			continue
		}
		if number, found := strings.CutPrefix(r.Key, wavePrefix); found {
			if err := s.foldWave(number, r.Value); err != nil {
				s.note(NoteRecordBad, "offset", r.Offset, "key", r.Key, "error", err.Error())
			}
			continue
		}
		before := s.ledger.ownerFence
		e, err := s.ledger.fold(s.now, r)
		if err != nil {
			s.note(NoteRecordBad, "offset", r.Offset, "key", r.Key, "error", err.Error())
			continue
		}
		if r.Key == ownerKey || strings.HasPrefix(r.Key, progressPrefix) {
			s.claim.quietSince, s.claim.signAt = s.now, s.now
		}
		if !s.stream.folding {
			s.ownerChanged(before)
		}
		if node, found := strings.CutPrefix(r.Key, memberPrefix); found && !s.stream.folding {
			s.volunteered(vocab.NodeID(node))
		}
		if e != nil && s.owner != nil {
			s.owner.jobChanged(e)
		}
	}
}

// forgetEnded drops ended jobs that need not be shown any more. The owner
// drops them from the stream as well.
func (s *State) forgetEnded() {
	if s.owner != nil {
		s.owner.forgetEnded()
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// spread returns a fixed part of most for this process.
func (s *State) spread(most time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.self.Node))
	return time.Duration(h.Sum64() % uint64(most))
}
