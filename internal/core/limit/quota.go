package limit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// BaseQuota returns the base quota that self has of an account: an even split of
// the total over the members. The members that get one slot more than the others
// are those whose hash with the account is lowest. The order of the hashes does
// not depend on the total, so raising a total or removing a member lowers no
// member's quota. It returns 0 if self is not among the members.
func BaseQuota(a Account, total vocab.Slots, members []vocab.Incarnation, self vocab.Incarnation) vocab.Slots {
	if total <= 0 || len(members) == 0 {
		return 0
	}
	seed := accountHash(a)
	selfHash := memberHash(seed, self)
	rank := 0
	present := false
	for _, m := range members {
		if m == self {
			present = true
			continue
		}
		if ranksBefore(memberHash(seed, m), m, selfHash, self) {
			rank++
		}
	}
	if !present {
		return 0
	}
	n := vocab.Slots(len(members))
	quota := total / n
	if vocab.Slots(rank) < total%n {
		quota++
	}
	return quota
}

// accountHash returns the hash of an account.
func accountHash(a Account) uint64 {
	return xxhash.Sum64String(a.Name) + uint64(a.Kind)
}

// ranksBefore reports whether member m is ordered before self: by hash, and by
// incarnation if the hashes are equal.
func ranksBefore(hash uint64, m vocab.Incarnation, selfHash uint64, self vocab.Incarnation) bool {
	if hash != selfHash {
		return hash < selfHash
	}
	return m < self
}

// memberHash returns the hash of a seed and a member. A different seed gives a
// different order of the members.
func memberHash(seed uint64, m vocab.Incarnation) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], seed)
	binary.LittleEndian.PutUint64(buf[8:], uint64(m))
	return xxhash.Sum64(buf[:])
}
