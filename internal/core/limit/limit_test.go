package limit

import (
	"testing"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"pgregory.net/rapid"
)

// Home parts add up to the total, and neither raising the total nor removing a
// member lowers anybody's part.
func TestHomePartsAddUpAndAreMonotone(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 60, rapid.ID[uint64]).Draw(r, "members")
		total := vocab.Slots(rapid.IntRange(0, 500).Draw(r, "total"))
		account := TeamAccount(vocab.TeamID(rapid.String().Draw(r, "team")))
		members := make([]vocab.Incarnation, len(ids))
		for i, id := range ids {
			members[i] = vocab.Incarnation(id)
		}
		var sum vocab.Slots
		for _, m := range members {
			part := HomePart(account, total, members, m)
			sum += part
			if HomePart(account, total+1, members, m) < part {
				r.Fatalf("raising the total lowers the part of %d", m)
			}
			if m != members[0] && HomePart(account, total, members[1:], m) < part {
				r.Fatalf("removing a member lowers the part of %d", m)
			}
		}
		if sum != total {
			r.Fatalf("parts add up to %d, not %d", sum, total)
		}
	})
}
