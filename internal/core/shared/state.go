// Package shared folds the fleet stream of the platform's log into the state
// that all nodes have in common: the configuration, the keys and the members.
// Two nodes that folded up to the same offset have equal states, whatever they
// read in between, and therefore equal digests.
package shared

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Stream is the stream that this package folds.
const Stream vocab.StreamID = "fleet"

// State is the fold of the fleet stream up to and including Offset.
type State struct {
	// Offset is the offset of the last record folded.
	Offset vocab.Offset `json:"offset"`
	// Revision is the offset of the configuration in force; 0 without one.
	Revision vocab.Revision `json:"revision"`
	// Fleet is the configuration in force; nil without one.
	Fleet *spec.Fleet `json:"fleet"`
	// Keys holds every key ever given or withdrawn, by ID.
	Keys map[vocab.KeyID]Key `json:"keys"`
	// Members holds the entry processes that hold parts of limits.
	Members map[vocab.Incarnation]Member `json:"members"`
	// Removed holds members whose requests may still run, with the offset of
	// their removal.
	Removed map[vocab.Incarnation]Removal `json:"removed"`
	// LimitsOffset is the offset of the last change to members, team limits or
	// pools. Parts of limits are computed as of this offset.
	LimitsOffset vocab.Offset `json:"limits_offset"`
	// Recent remembers the IDs of the latest records, oldest first, so that a
	// record appended twice is folded once.
	Recent []vocab.RecordID `json:"recent"`

	seen map[vocab.RecordID]struct{}
}

// Key is a key as the fold knows it.
type Key struct {
	ID   vocab.KeyID  `json:"id"`
	Team vocab.TeamID `json:"team"`
	// SecretHash is the SHA-256 of the secret; empty if the key was withdrawn
	// before it was given.
	SecretHash []byte `json:"secret_hash,omitempty"`
	// Withdrawn is final.
	Withdrawn bool `json:"withdrawn"`
	// Given and Ended are the offsets of the first record of each sort.
	Given vocab.Offset `json:"given"`
	Ended vocab.Offset `json:"ended"`
}

// Member is one entry process that joined and was not removed.
type Member struct {
	Node        vocab.NodeID      `json:"node"`
	Incarnation vocab.Incarnation `json:"incarnation"`
	Zone        vocab.ZoneID      `json:"zone"`
	Region      vocab.RegionID    `json:"region"`
	PeerAddress string            `json:"peer_address"`
	Joined      vocab.Offset      `json:"joined"`
}

// Removal is a former member.
type Removal struct {
	Member Member       `json:"member"`
	Offset vocab.Offset `json:"offset"`
	// Settled is set if the member left after its last request had ended.
	Settled bool `json:"settled"`
}

// recentRecords is the number of record IDs remembered for detecting doubles.
const recentRecords = 4096

// keptRemovals is the number of former members remembered.
const keptRemovals = 512

// New returns the state before the first record.
func New() *State {
	return &State{
		Keys:    map[vocab.KeyID]Key{},
		Members: map[vocab.Incarnation]Member{},
		Removed: map[vocab.Incarnation]Removal{},
		seen:    map[vocab.RecordID]struct{}{},
	}
}

// ActiveKey returns the key if it was given and not withdrawn.
func (s *State) ActiveKey(id vocab.KeyID) (Key, bool) {
	k, ok := s.Keys[id]
	if !ok || k.Withdrawn || k.Given == 0 {
		return Key{}, false
	}
	return k, true
}

// SortedMembers returns the members in order of incarnation.
func (s *State) SortedMembers() []Member {
	out := slices.Collect(maps.Values(s.Members))
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return out
}

// SortedKeys returns all keys in order of their IDs.
func (s *State) SortedKeys() []Key {
	out := slices.Collect(maps.Values(s.Keys))
	slices.SortFunc(out, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
