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

// Identity describes a process; it is fixed when the process starts.
type Identity struct {
	Node        vocab.NodeID
	Incarnation vocab.Incarnation
	Zone        vocab.ZoneID
	// PeerAddress is the address at which other nodes reach this one; empty if there is none.
	PeerAddress string
	// CPUShare is the CPU share of the node in cores; nodes with a higher share claim
	// the ownership earlier.
	CPUShare float64
}

// Clock is the time at which an event is processed.
type Clock struct {
	// Now is monotonic and advances while the process or its VM is suspended.
	Now vocab.Instant
	// Wall is the time of day.
	Wall Millis
}

// State is the state machine of one entry node for jobs: it accepts jobs, follows the
// job stream and, while the node is the owner, schedules tasks on workers.
type State struct {
	self     Identity
	settings Settings
	now      vocab.Instant
	wall     Millis
	config   *Config
	// configAppliedAt is the time when the configuration was applied.
	configAppliedAt vocab.Instant
	// evacuations are the availability zones in which nothing may start.
	evacuations evacuations
	ledger      *Ledger
	// adviceRequests counts the requests for advice of this process.
	adviceRequests uint64
	stream         streamState
	claim          claim
	// directory is the node's view of the fleet's nodes.
	directory directoryState
	owner     *owner
	callerState
	// forwards holds the calls forwarded to other nodes that have no reply yet.
	forwards map[CallID]*forwardedCall
	// shownConfigVersion is the highest configuration version that another node used
	// for the reply to a call forwarded by this node.
	shownConfigVersion uint64
	// forwardUntil is the end of the period after a slow append in which calls are
	// forwarded to the owner.
	forwardUntil vocab.Instant
	// forwardPeriod is the length of the last such period; 0 after a fast append.
	forwardPeriod time.Duration
	waves         map[int64]*waveState
	waveNumbers   []int64 // keys of waves, sorted
	// announced is set once the node's member record was sent, announcedAt is the time
	// when it was last sent.
	announced   bool
	announcedAt vocab.Instant
	stopping    bool
	// liveTasks are the tasks of the unfinished jobs.
	liveTasks taskCounts
	// preparation is set while this node may be appointed as the owner.
	preparation *preparation
	effects     []event.Effect
}

// streamState is the node's position in the job stream and the state of its reads.
type streamState struct {
	loading, loaded bool
	// everLoaded is set once a first load succeeded: a node that reloads the stream
	// continues to serve callers.
	everLoaded  bool
	reading     bool
	nextOffset  int64
	lastReadAt  vocab.Instant // when the last successful read was sent
	caughtUpAt  vocab.Instant // when the last read that reached the end was sent
	longPoll    bool          // the read in progress waits for records
	readSentAt  vocab.Instant // when the read in progress was sent
	nextReadAt  vocab.Instant
	foldingLoad bool          // the records of a load are being folded
	readLatency time.Duration // decaying maximum of the latency of reads without a long poll
	failedSince vocab.Instant // 0 while reads succeed
	// failures counts the failed reads in a row, readBytes is the maximum size of the next
	// read.
	failures, readBytes int
}

// New returns the initial state of a process.
func New(self Identity, settings Settings) *State {
	return &State{
		self: self, settings: settings, ledger: newLedger(), waves: map[int64]*waveState{},
		forwards:    map[CallID]*forwardedCall{},
		callerState: callerState{batches: map[uint64]*recordBatch{}},
		directory:   directoryState{members: map[vocab.NodeID]memberRecord{}, unreachable: map[vocab.NodeID]vocab.Instant{}},
	}
}

// Step processes one event and returns the effects to carry out. The returned slice
// is valid until the next call.
func (s *State) Step(clock Clock, ev event.Event) []event.Effect {
	s.now = max(s.now, clock.Now)
	s.wall = clock.Wall
	s.effects = s.effects[:0]
	s.handle(ev)
	if s.owner != nil {
		s.owner.finishStep()
	}
	return s.effects
}

func (s *State) handle(ev event.Event) {
	switch e := ev.(type) {
	case Tick:
		s.tick()
	case ConfigRead:
		s.handleConfigRead(e)
	case EvacuationsRead:
		s.handleEvacuationsRead(e)
	case WaveRequested:
		s.handleWaveRequested(e)
	case StreamLoaded:
		s.handleStreamLoaded(e)
	case StreamRead:
		s.handleStreamRead(e)
	case StreamFailed:
		s.handleStreamFailed(e)
	case Appended:
		s.handleAppended(e)
	case Submit:
		s.handleSubmit(e)
	case Query:
		s.handleQuery(e)
	case Cancel:
		s.handleCancel(e)
	case Backlog:
		s.handleBacklog(e)
	case ForwardAnswered:
		s.handleForwardAnswered(e)
	case DirectoryRead:
		s.handleDirectoryRead(e)
	case DirectoryWritten:
		s.handleDirectoryWritten(e)
	case OwnershipOffered:
		s.handleOwnershipOffered(e)
	case HandoverRequested:
		s.handleHandoverRequested(e)
	case Stopping:
		s.handleStopping()
	default:
		s.handleForOwner(ev)
	}
}

// handleForOwner passes an event on to the owner, or keeps the list of workers of a node that
// may be appointed.
func (s *State) handleForOwner(ev event.Event) {
	if listed, ok := ev.(WorkersListed); ok && s.preparation != nil {
		s.preparation.handleWorkersListed(listed)
	}
	if s.owner != nil {
		s.owner.handle(ev)
	}
}

func (s *State) emit(e event.Effect) { s.effects = append(s.effects, e) }

func (s *State) logEvent(id LogEventID, fields ...any) { s.emit(LogEvent{ID: id, Fields: fields}) }

func (s *State) handleConfigRead(e ConfigRead) {
	if s.config != nil && e.Config.Version <= s.config.Version {
		return
	}
	e.Config.Index()
	s.config, s.configAppliedAt = e.Config, s.now
	s.logEvent(LogConfigApplied, "version", e.Config.Version, "queues", len(e.Config.Queues), "teams", len(e.Config.Teams))
	if s.owner != nil {
		s.owner.planDue = true
		s.owner.applyTerms()
	}
}

// Config returns the configuration in force, or nil. It must not be modified.
func (s *State) Config() *Config { return s.config }

func (s *State) tick() {
	s.tickDirectory()
	s.followStream()
	s.announce()
	s.sendBatch()
	s.forwardOverdue()
	s.claimIfOwnerTimedOut()
	s.endPreparation()
	if s.owner != nil {
		s.owner.tick()
	}
	s.removeExpiredJobs()
}

// Ready reports whether the node can serve new callers.
func (s *State) Ready() bool {
	return s.config != nil && (s.stream.everLoaded || s.directory.remote) && !s.stopping
}

// Owning reports whether this node is the owner of the workers and has completed its
// takeover.
func (s *State) Owning() bool { return s.owner != nil && s.owner.stage == stageActive }

// waitsForDirectory reports whether a process that has just started does not load the stream
// yet, because it may turn out to be a remote node.
func (s *State) waitsForDirectory() bool {
	return s.settings.Directory && !s.directory.loaded && s.now.Sub(s.directory.startedAt) < directoryLoadWait
}

// followStream sends the next load or read of the stream if it is due.
func (s *State) followStream() {
	if s.directory.remote || s.waitsForDirectory() {
		return
	}
	if s.stream.loading || s.stream.reading || s.now < s.stream.nextReadAt {
		return
	}
	if !s.stream.loaded {
		s.stream.loading = true
		s.emit(LoadStream{})
		return
	}
	s.stream.reading, s.stream.readSentAt = true, s.now
	if s.stream.readBytes == 0 {
		s.stream.readBytes = maxReadBytes
	}
	read := ReadStream{From: s.stream.nextOffset, MaxBytes: s.stream.readBytes}
	s.stream.longPoll = s.owner != nil || s.preparation != nil
	if s.stream.longPoll {
		read.Wait = ownerReadWait
	}
	s.emit(read)
}

// readNow sends the next read at once, unless one is in progress.
func (s *State) readNow() {
	s.stream.nextReadAt = s.now
	s.followStream()
}

func (s *State) handleStreamLoaded(e StreamLoaded) {
	if s.directory.remote {
		return
	}
	s.stream.loading, s.stream.loaded, s.stream.everLoaded = false, true, true
	s.stream.nextOffset = e.From
	if s.claim.ownerTimeoutFrom == 0 {
		// A restarted process waits for the full owner timeout before it claims, as
		// the other nodes do.
		s.claim.ownerTimeoutFrom = s.now
	}
	old := s.ledger
	s.ledger = newLedger()
	// Ownership changes are handled once, after the fold: the load also has records
	// of earlier owners.
	s.stream.foldingLoad = true
	timeoutFrom := s.claim.ownerTimeoutFrom
	s.foldRecords(sortedForFold(e.Records))
	// Loaded records may be old, so they don't count as heartbeats of the owner.
	s.claim.ownerTimeoutFrom = timeoutFrom
	s.stream.foldingLoad = false
	s.ownerChanged(0)
	if old.ownerFence > s.ledger.ownerFence {
		s.ledger.owner, s.ledger.ownerFence = old.owner, old.ownerFence
	}
	s.readNow()
}

// sortedForFold sorts loaded records by offset, but puts the owner record first, so
// that claims already decided before that record don't take effect again. A record that
// appoints another owner keeps its place, since a claim before it makes it void; what it says
// of the earlier owner comes first.
func sortedForFold(records []Record) []Record {
	sorted := slices.Clone(records)
	for i, r := range sorted {
		if r.Key != ownerKey {
			continue
		}
		if earlier, appoints := r.earlierOwner(); appoints {
			sorted = append(sorted, earlier)
		} else {
			sorted[i].Offset = beforeAllRecords
		}
		break
	}
	slices.SortStableFunc(sorted, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return sorted
}

func (s *State) handleStreamRead(e StreamRead) {
	s.stream.reading = false
	if !s.stream.loaded || s.directory.remote {
		s.followStream()
		return
	}
	if s.stream.failedSince != 0 {
		s.logEvent(LogStreamAvailable, "after_ms", s.now.Sub(s.stream.failedSince).Milliseconds(), "offset", e.Next)
		s.stream.failedSince = 0
		s.claim.ownerTimeoutFrom = s.now
	}
	s.stream.nextOffset, s.stream.lastReadAt = e.Next, e.SentAt
	s.stream.failures, s.stream.readBytes = 0, min(2*s.stream.readBytes, maxReadBytes)
	if s.owner == nil && !s.stream.longPoll {
		// The latency decays slowly: when a slow store recovers, appends that the
		// owner sent before are still in flight.
		s.stream.readLatency = max(s.now.Sub(e.SentAt), time.Duration(latencyDecay*float64(s.stream.readLatency)))
	}
	s.stream.nextReadAt = s.now.Add(s.readInterval())
	s.foldRecords(e.Records)
	if e.Next < e.End {
		s.stream.nextReadAt = s.now
	}
	if e.Next >= e.End {
		s.stream.caughtUpAt = e.SentAt
		// A read truncated at its maximum size may lack the record of a queried job.
		s.answerQueries(e.SentAt)
	}
	if s.owner != nil {
		s.owner.handleStreamRead(e)
	}
	s.followStream()
}

func (s *State) readInterval() time.Duration {
	if s.owner != nil || s.preparation != nil {
		return ownerReadInterval
	}
	if s.self.CPUShare < lowShareRatio*s.ledger.maxCPUShare {
		return lowShareReadInterval
	}
	return followerReadInterval
}

func (s *State) handleStreamFailed(e StreamFailed) {
	s.stream.loading, s.stream.reading = false, false
	s.stream.nextReadAt = s.now.Add(s.readRetryDelay())
	s.stream.readBytes = max(s.stream.readBytes/2, minReadBytes)
	if e.Trimmed {
		// An owner's ledger has what it wrote itself; a new one can only be built by a takeover.
		s.loseOwnership("the stream no longer has the next records")
		s.stream.loaded = false
		s.stream.nextReadAt = s.now
		return
	}
	if s.stream.failedSince == 0 {
		s.stream.failedSince = s.now
		s.logEvent(LogStreamUnavailable, "offset", s.stream.nextOffset, "error", errorText(e.Err))
	}
	s.answerQueriesStale()
}

// readRetryDelay counts a failed read and returns the delay before the next one.
func (s *State) readRetryDelay() time.Duration {
	s.stream.failures++
	if s.self.CPUShare >= lowShareRatio*s.ledger.maxCPUShare {
		return streamRetryDelay
	}
	return min(streamRetryDelay<<min(s.stream.failures-1, 4), maxRetryDelay) + s.jitter(streamRetryDelay)
}

// foldRecords folds records into the ledger and passes jobs changed by other nodes to
// the owner.
func (s *State) foldRecords(records []Record) {
	for _, r := range records {
		if s.owner != nil && s.owner.wrote(r) {
			continue
		}
		if number, found := strings.CutPrefix(r.Key, wavePrefix); found {
			if err := s.foldWave(number, r.Value); err != nil {
				s.logEvent(LogRecordUnreadable, "offset", r.Offset, "key", r.Key, "error", err.Error())
			}
			continue
		}
		before := s.ledger.ownerFence
		changed, err := s.ledger.fold(s.now, r)
		if err != nil {
			s.logEvent(LogRecordUnreadable, "offset", r.Offset, "key", r.Key, "error", err.Error())
			continue
		}
		if r.Key == ownerKey || strings.HasPrefix(r.Key, progressPrefix) || isOrderRecord(r.Key) {
			s.claim.ownerTimeoutFrom, s.claim.lastHeartbeat = s.now, s.now
			s.ledger.owner.unconfirmed = s.ledger.owner.unconfirmed && r.Key == ownerKey
		}
		if !s.stream.foldingLoad {
			s.ownerChanged(before)
		}
		if node, found := strings.CutPrefix(r.Key, memberPrefix); found && !s.stream.foldingLoad {
			s.resignIfRequestedBy(vocab.NodeID(node))
		}
		if changed != nil && s.owner != nil {
			s.owner.jobChanged(changed)
		}
	}
}

// removeExpiredJobs removes finished jobs whose retention has passed. Only the owner
// does so, from its ledger and from the stream.
func (s *State) removeExpiredJobs() {
	if s.owner != nil {
		s.owner.removeExpiredJobs()
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// jitter returns a duration below limit that depends only on the node's name.
func (s *State) jitter(limit time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.self.Node))
	return time.Duration(h.Sum64() % uint64(limit))
}
