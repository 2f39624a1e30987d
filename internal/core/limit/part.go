package limit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// HomePart returns the part that self has of an account: an even split of the
// total over the members. The members that get one slot more are those whose
// hash with the account is lowest. The order of the hashes does not depend on
// the total, so raising a total or removing a member lowers nobody's part.
// It returns 0 if self is not among the members.
func HomePart(a Account, total vocab.Slots, members []vocab.Incarnation, self vocab.Incarnation) vocab.Slots {
	if total <= 0 || len(members) == 0 {
		return 0
	}
	name := xxhash.Sum64String(a.Name) + uint64(a.Kind)
	own := placement(name, self)
	rank := 0
	present := false
	for _, m := range members {
		if m == self {
			present = true
			continue
		}
		if before(placement(name, m), m, own, self) {
			rank++
		}
	}
	if !present {
		return 0
	}
	n := vocab.Slots(len(members))
	part := total / n
	if vocab.Slots(rank) < total%n {
		part++
	}
	return part
}

// before orders members by hash, and by incarnation if the hashes are equal.
func before(h uint64, m vocab.Incarnation, own uint64, self vocab.Incarnation) bool {
	if h != own {
		return h < own
	}
	return m < self
}

// placement hashes an account's name with a member.
func placement(name uint64, m vocab.Incarnation) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], name)
	binary.LittleEndian.PutUint64(buf[8:], uint64(m))
	return xxhash.Sum64(buf[:])
}
