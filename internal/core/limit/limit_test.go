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

// Returns that overtake each other never raise a loan, and an ask that comes
// twice lends once.
func TestLateAndRepeatedMessagesLendNothing(t *testing.T) {
	s := New(Config{Self: 1})
	s.FoldMembers(0, 1, []Member{{Incarnation: 1}})
	s.FoldTotal(0, 2, Total{Account: TeamAccount("team"), Slots: 8})
	ask := Ask{From: 2, To: 1, Seq: 1, Items: []AskItem{{Account: TeamAccount("team"), Slots: 5}}}
	grant := s.OnAsk(0, ask).Grants[0]
	if again := s.OnAsk(0, ask); len(again.Grants) != 0 {
		t.Fatalf("a repeated ask was granted %v", again.Grants)
	}
	s.OnReturn(0, Return{From: 2, To: 1, Items: []ReturnItem{{ID: grant.ID, Keep: 1}}})
	s.OnReturn(0, Return{From: 2, To: 1, Items: []ReturnItem{{ID: grant.ID, Keep: 3}}})
	s.OnReturn(0, Return{From: 3, To: 1, Items: []ReturnItem{{ID: grant.ID, Keep: 0}}})
	if free := s.Free(0, TeamAccount("team")); free != 7 {
		t.Fatalf("%d of 8 are free, 1 is still lent", free)
	}
}
