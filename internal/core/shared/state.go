// Package shared folds the fleet stream of the platform's log into the state
// that all nodes have in common: the configuration, the keys, the members and
// the maintenance ledger. Two nodes that have folded the stream up to the same
// offset have equal states and equal digests, whether they read every record or
// restored a snapshot on the way.
package shared

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Stream is the stream that this package folds.
const Stream vocab.StreamID = "fleet"

// State is the result of folding the fleet stream up to and including Offset.
type State struct {
	// Offset is the offset of the last folded record; 0 before the first one.
	Offset vocab.Offset `json:"offset"`
	// Revision is the revision of the configuration in force; 0 if there is none.
	Revision vocab.Revision `json:"revision"`
	// Fleet is the configuration in force; nil if there is none.
	Fleet *spec.Fleet `json:"fleet"`
	// Keys holds every key that was ever given or withdrawn, by ID.
	Keys map[vocab.KeyID]Key `json:"keys"`
	// Members holds the entry processes that have a quota of each limit.
	Members map[vocab.Incarnation]Member `json:"members"`
	// Removed holds the last removed members. Requests of a member that was
	// removed without being settled may still run.
	Removed map[vocab.Incarnation]Removal `json:"removed"`
	// LimitsOffset is the offset of the last change to the members or to the
	// configuration, which holds the team limits and the pools. The quotas of
	// members are computed as of this offset.
	LimitsOffset vocab.Offset `json:"limits_offset"`
	// Maintenance is the ledger of VM moves between pools and of VM maintenance.
	Maintenance *maintenance.Ledger `json:"maintenance"`
	// RecentIDs holds the IDs of the latest records, oldest first, so that a
	// record that was appended twice is folded once.
	RecentIDs []vocab.RecordID `json:"recent"`

	// recentSet holds the same IDs as RecentIDs.
	recentSet map[vocab.RecordID]struct{}
}

// Key is the state of one API key.
type Key struct {
	ID   vocab.KeyID  `json:"id"`
	Team vocab.TeamID `json:"team"`
	// SecretHash is the SHA-256 of the secret; empty if the key was withdrawn
	// before it was given.
	SecretHash []byte `json:"secret_hash,omitempty"`
	// Withdrawn never becomes false again.
	Withdrawn bool `json:"withdrawn"`
	// GivenOffset is the offset of the key's first KeyGiven record; 0 for none.
	GivenOffset vocab.Offset `json:"given"`
	// WithdrawnOffset is the offset of the key's first KeyWithdrawn record; 0 for none.
	WithdrawnOffset vocab.Offset `json:"ended"`
}

// Member is an entry process that has joined the fleet. PeerAddress is the
// IP:port of its peer service, and Joined the offset of its NodeJoined record.
type Member struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Zone        vocab.ZoneID      `json:"zone"`
	Region      vocab.RegionID    `json:"region"`
	PeerAddress string            `json:"peer_address"`
	Joined      vocab.Offset      `json:"joined"`
}

// Removal describes a removed member. Offset is that of the NodeRemoved record.
type Removal struct {
	Member Member       `json:"member"`
	Offset vocab.Offset `json:"offset"`
	// Settled is true if the member left by itself after its last request had
	// completed, so that none of its requests may still run.
	Settled bool `json:"settled"`
}

// maxRecentIDs bounds the record IDs that are kept to detect duplicate records.
const maxRecentIDs = 4096

// maxRemovals bounds the removed members that are kept.
const maxRemovals = 512

// New returns the empty state before the first record.
func New() *State {
	return &State{
		Keys:      map[vocab.KeyID]Key{},
		Members:   map[vocab.Incarnation]Member{},
		Removed:   map[vocab.Incarnation]Removal{},
		recentSet: map[vocab.RecordID]struct{}{},

		Maintenance: maintenance.NewLedger(),
	}
}

// ActiveKey returns a key that was given and has not been withdrawn. It returns
// false if there is no such key.
func (s *State) ActiveKey(id vocab.KeyID) (Key, bool) {
	k, ok := s.Keys[id]
	if !ok || k.Withdrawn || k.GivenOffset == 0 {
		return Key{}, false
	}
	return k, true
}

// SortedMembers returns the members, sorted by incarnation.
func (s *State) SortedMembers() []Member {
	out := slices.Collect(maps.Values(s.Members))
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return out
}

// SortedKeys returns all keys, sorted by ID.
func (s *State) SortedKeys() []Key {
	out := slices.Collect(maps.Values(s.Keys))
	slices.SortFunc(out, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
