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

// A borrower with a longer run limit than its giver starts nothing on the loan
// until a renewal; then the giver waits for the longer one, also after its own
// limit was lowered.
func TestLoansCarryTheRunLimit(t *testing.T) {
	team := TeamAccount("team")
	totals := []Total{{Account: team, Slots: 8}}
	giver := New(Config{Self: 1, Lease: testLease, Guard: testGuard})
	giver.FoldMembers(0, 1, []Member{{Incarnation: 1}})
	giver.FoldTotals(0, 2, totals, testRun)
	borrower := New(Config{Self: 2, Lease: testLease, Guard: testGuard})
	borrower.FoldMembers(0, 1, []Member{{Incarnation: 1}})
	borrower.FoldTotals(0, 2, totals, testRun)
	borrower.SetReachable([]vocab.Incarnation{1})
	borrower.SetDemand(team, 8)
	exchange := func(now vocab.Instant) {
		for _, e := range borrower.Tick(now) {
			if ask, ok := e.(SendAsk); ok {
				borrower.OnAnswer(now, giver.OnAsk(now, ask.Ask))
			}
		}
	}
	exchange(0)
	borrower.FoldTotals(0, 3, totals, 2*testRun)
	if _, ok := borrower.Take(0, team); ok {
		t.Fatal("work longer than the giver waits for may start")
	}
	renewed := vocab.Instant(0).Add(careInterval)
	exchange(renewed)
	token, ok := borrower.Take(renewed, team)
	if !ok || !borrower.Valid(renewed, token) {
		t.Fatal("the renewed loan cannot be used")
	}
	giver.FoldTotals(renewed, 4, totals, testRun/2)
	ends := renewed.Add(testLease + 2*testRun)
	giver.Tick(ends)
	if giver.Free(ends, team) != 0 {
		t.Fatal("the giver took tokens back while work on them may run")
	}
	giver.Tick(ends.Add(testGuard))
	if giver.Free(ends.Add(testGuard), team) != 8 {
		t.Fatal("the giver did not take its tokens back")
	}
}

// A lost member's wait uses the longest run limit ever seen.
func TestLoweredRunLimitDoesNotShortenTheWait(t *testing.T) {
	team := TeamAccount("team")
	totals := []Total{{Account: team, Slots: 8}}
	s := New(Config{Self: 1, Lease: testLease, Guard: testGuard})
	s.FoldMembers(0, 1, []Member{{Incarnation: 1}, {Incarnation: 2}})
	s.FoldTotals(0, 2, totals, testRun)
	s.FoldTotals(0, 3, totals, testRun/2)
	s.FoldMembers(0, 4, []Member{{Incarnation: 1}, {Incarnation: 2, Removal: RemovalLost, RemovedAt: 4}})
	before := vocab.Instant(0).Add(testLease + testRun)
	s.Tick(before)
	if s.Free(before, team) != 0 {
		t.Fatal("the part of a lost member is used while its work may run")
	}
	s.Tick(before.Add(testGuard))
	if s.Free(before.Add(testGuard), team) != 8 {
		t.Fatal("the part of a lost member does not come back")
	}
}
