package job

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// In a large fleet only the nodes with a high CPU share follow the job stream: what the store
// sends is shared by all nodes, and the links and processors of the others would carry the
// load of the whole fleet. The other nodes are remote: they forward their callers' calls to
// a node that follows the stream. The directory, a topic of its own that all nodes read,
// lists the nodes and has a heartbeat of the owner. A remote node follows the stream itself
// once the heartbeat is missing, or once no other node answers its calls.

const (
	// minRemoteFleet is the number of nodes from which on a fleet has remote nodes, and
	// minFollowers the number of other nodes that it must have at least.
	minRemoteFleet = 30
	minFollowers   = 3
	// directoryLoadWait is the time for which a process waits for the directory before it
	// loads the stream, and directoryWatch the time after its start during which a node
	// may still become remote: when the whole fleet starts, the directory is empty.
	directoryLoadWait = time.Second
	directoryWatch    = 4 * time.Second
	// directoryHeartbeatInterval is the time between two heartbeats of the owner.
	directoryHeartbeatInterval = time.Second
	// ownerSilence is the time without a heartbeat after which remote nodes follow the
	// stream: the time that a change of owner takes, and two heartbeats. They do so one
	// after the other, promotionStep apart.
	ownerSilence  = 4 * time.Second
	promotionStep = 100 * time.Millisecond
	// forwardingFailure is the time for which all of a remote node's calls must have failed
	// before it follows the stream.
	forwardingFailure = 1500 * time.Millisecond
	// unreachablePeerBackoff is the time for which a node gets no forwarded calls after one
	// had no response.
	unreachablePeerBackoff = 3 * time.Second
)

// directoryOwnerKey is the key of the owner's heartbeat in the directory.
const directoryOwnerKey = "owner"

// Events and effects of the directory.
type (
	// FollowDirectory starts or stops the delivery of DirectoryRead events.
	FollowDirectory struct {
		effectMarker
		On bool
	}

	// WriteDirectory appends records to the directory. The response is DirectoryWritten.
	WriteDirectory struct {
		effectMarker
		Records []Record
	}

	// DirectoryRead delivers the newest record of each key at first, and later the records
	// since the last read, of which there may be none.
	DirectoryRead struct {
		eventMarker
		Full    bool
		Records []Record
	}

	// DirectoryWritten is the response to a WriteDirectory.
	DirectoryWritten struct {
		eventMarker
		Outcome Outcome
	}
)

// directoryState is a node's view of the directory.
type directoryState struct {
	// startedAt is the time of the first event, following is set while the directory is
	// followed, and loaded once it was read.
	startedAt         vocab.Instant
	following, loaded bool
	readAt            vocab.Instant
	members           map[vocab.NodeID]memberRecord
	// large is set if the fleet has remote nodes.
	large bool
	// announced is set once the node's own record was written; writing is set while an append
	// to the directory has no response. The next one is sent at writeFrom at the earliest.
	announced, writing bool
	writeFrom          vocab.Instant
	// ownerSeenAt is the time of the last heartbeat of an owner that was read, or a later
	// time from which on one could be read.
	ownerSeenAt vocab.Instant
	// heartbeatAt is the time when this node, as the owner, last wrote a heartbeat.
	heartbeatAt vocab.Instant
	// remote is set while the node does not follow the stream.
	remote bool
	// failingSince is the time since which all forwarded calls of a remote node failed, or 0.
	failingSince vocab.Instant
	// unreachable holds the nodes that did not respond, until they get calls again.
	unreachable map[vocab.NodeID]vocab.Instant
	// slowUntil is the time until which a remote node takes the store to be slow.
	slowUntil vocab.Instant
}

// tickDirectory follows the directory while the node needs it, and writes the node's record
// and the owner's heartbeat.
func (s *State) tickDirectory() {
	d := &s.directory
	if !s.settings.Directory {
		return
	}
	if d.startedAt == 0 {
		d.startedAt, d.following = s.now, true
		s.emit(FollowDirectory{On: true})
	}
	s.writeDirectory()
	s.promoteIfAlone()
	if d.following && !d.remote && s.now.Sub(d.startedAt) > directoryWatch {
		d.following = false
		s.emit(FollowDirectory{On: false})
	}
}

// writeDirectory writes the node's own record once, and the owner's heartbeats.
func (s *State) writeDirectory() {
	d := &s.directory
	if d.writing || s.now < d.writeFrom {
		return
	}
	var records []Record
	if !d.announced {
		record, err := encodeMember(s.self.Node, s.memberRecord())
		if err != nil {
			s.logEvent(LogRecordUnreadable, "key", memberPrefix, "error", err.Error())
			return
		}
		records = append(records, record)
	}
	if s.Owning() && d.large && s.now.Sub(d.heartbeatAt) >= directoryHeartbeatInterval {
		d.heartbeatAt = s.now
		records = append(records, Record{Key: directoryOwnerKey, Value: []byte(s.self.Node)})
	}
	if len(records) > 0 {
		d.writing, d.announced = true, true
		s.emit(WriteDirectory{Records: records})
	}
}

func (s *State) handleDirectoryWritten(e DirectoryWritten) {
	d := &s.directory
	d.writing = false
	if e.Outcome == OK {
		return
	}
	d.writeFrom = s.now.Add(directoryHeartbeatInterval)
	d.announced = d.members[s.self.Node].Address == s.self.PeerAddress
}

func (s *State) handleDirectoryRead(e DirectoryRead) {
	d := &s.directory
	if s.now.Sub(d.readAt) > ownerSilence/2 {
		// Heartbeats may have been missed while the directory could not be read.
		d.ownerSeenAt = s.now
	}
	d.readAt, d.loaded = s.now, true
	for _, r := range e.Records {
		if err := s.foldDirectory(r); err != nil {
			s.logEvent(LogRecordUnreadable, "key", r.Key, "offset", r.Offset, "error", err.Error())
		}
	}
	d.large = len(d.members) >= minRemoteFleet && len(s.followers()) >= minFollowers
	s.becomeRemoteIfLarge()
	s.followStream()
}

// foldDirectory applies a record of the directory.
func (s *State) foldDirectory(r Record) error {
	d := &s.directory
	node, isMember := strings.CutPrefix(r.Key, memberPrefix)
	switch {
	case r.Key == directoryOwnerKey:
		d.ownerSeenAt = s.now
	case !isMember:
		return errors.Wrapf(ErrBadRecord, "key %q", r.Key)
	case len(r.Value) == 0:
		delete(d.members, vocab.NodeID(node))
	default:
		var m memberRecord
		if err := json.Unmarshal(r.Value, &m); err != nil {
			return errors.Mark(errors.Wrap(err, "decoding a member record"), ErrBadRecord)
		}
		d.members[vocab.NodeID(node)] = m
		delete(d.unreachable, vocab.NodeID(node))
	}
	return nil
}

// followers lists the other nodes that follow the stream in a large fleet, sorted by name:
// those with a CPU share that is not much lower than the highest.
func (s *State) followers() []vocab.NodeID {
	highest := s.self.CPUShare
	for _, m := range s.directory.members {
		highest = max(highest, m.CPUShare)
	}
	var nodes []vocab.NodeID
	for node, m := range s.directory.members {
		if node != s.self.Node && m.Address != "" && m.CPUShare >= lowShareRatio*highest {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// hasLowShare reports whether this node's CPU share is much lower than the highest.
func (s *State) hasLowShare() bool {
	for _, m := range s.directory.members {
		if s.self.CPUShare < lowShareRatio*m.CPUShare {
			return true
		}
	}
	return false
}

// becomeRemoteIfLarge stops following the stream, soon after the start of the process and
// unless the node is the owner or about to be.
func (s *State) becomeRemoteIfLarge() {
	d := &s.directory
	if d.remote || s.now.Sub(d.startedAt) > directoryWatch || s.owner != nil || s.claim.appendID != 0 || !s.hasLowShare() || !d.large {
		return
	}
	d.remote, d.ownerSeenAt = true, s.now
	s.stream = streamState{}
	s.ledger = newLedger()
	// Should it follow the stream later, the owner timeout counts from then.
	s.claim.ownerTimeoutFrom = 0
	s.logEvent(LogRemoteNode, "nodes", len(d.members), "followers", len(s.followers()))
}

// promoteIfAlone makes a remote node follow the stream if the owner's heartbeat is missing
// while the directory can be read, or if no other node answers its calls. Remote nodes do
// so one after the other, so that the store has to send the stream to few of them.
func (s *State) promoteIfAlone() {
	d := &s.directory
	if !d.remote || s.stopping {
		return
	}
	silentFor, aloneFor := time.Duration(0), time.Duration(0)
	if s.now.Sub(d.readAt) < ownerSilence/2 {
		silentFor = s.now.Sub(d.ownerSeenAt)
	}
	if d.failingSince != 0 {
		aloneFor = s.now.Sub(d.failingSince)
	}
	if silentFor <= ownerSilence && aloneFor <= forwardingFailure {
		return
	}
	wait := time.Duration(s.remoteRank()) * promotionStep
	if silentFor <= ownerSilence+wait && aloneFor <= forwardingFailure+wait {
		return
	}
	d.remote, d.following = false, false
	s.emit(FollowDirectory{On: false})
	s.logEvent(LogRemoteNode, "follows", true, "owner_silent_ms", silentFor.Milliseconds(), "calls_unanswered_ms", aloneFor.Milliseconds())
}

// remoteRank is the position of this node among the remote nodes, in the order of a hash.
func (s *State) remoteRank() int {
	rank, own := 0, hashNode("", s.self.Node)
	for node, m := range s.directory.members {
		if node != s.self.Node && m.CPUShare <= s.self.CPUShare && hashNode("", node) < own {
			rank++
		}
	}
	return rank
}

func hashNode(key string, node vocab.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(node))
	// FNV alone spreads names that differ in their last bytes badly over its high bits.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}

// followerFor returns the node to forward a call to: for each job the same one, as long as it
// responds, because it knows the job from its own append.
func (s *State) followerFor(key string, tried []vocab.NodeID) (vocab.NodeID, string) {
	nodes := s.followers()
	slices.SortFunc(nodes, func(a, b vocab.NodeID) int { return cmp.Compare(hashNode(key, a), hashNode(key, b)) })
	for _, reachable := range []bool{true, false} {
		for _, node := range nodes {
			until, failed := s.directory.unreachable[node]
			if slices.Contains(tried, node) || reachable == (failed && s.now < until) {
				continue
			}
			return node, s.directory.members[node].Address
		}
	}
	return "", ""
}

// noteAppendLatency notes that the store is slow if another node's reply to a call that needs an
// append was slow. A remote node has no append of its own to tell, and would give up on each
// follower in turn while the owner still writes the call's record.
func (s *State) noteAppendLatency(fwd *forwardedCall, e ForwardAnswered) {
	if s.directory.remote && e.Outcome == OK && e.Reply.Answer == Accepted && fwd.request.appends() && s.now.Sub(fwd.sentAt) > slowAppendLatency {
		s.directory.slowUntil = s.now.Add(minForwardPeriod)
	}
}

// noteForwarded records whether a node that a call was forwarded to responded.
func (s *State) noteForwarded(node vocab.NodeID, responded bool) {
	d := &s.directory
	if responded {
		d.failingSince = 0
		delete(d.unreachable, node)
		return
	}
	d.unreachable[node] = s.now.Add(unreachablePeerBackoff)
	if d.failingSince == 0 {
		d.failingSince = s.now
	}
}
