package limit

import (
	"testing"

	"github.com/sardinehead/sardinehead/internal/vocab"
	"pgregory.net/rapid"
)

// TestBaseQuotasAddUpAndAreMonotone checks that base quotas add up to the total, and
// that neither raising the total nor removing a member lowers any member's quota.
func TestBaseQuotasAddUpAndAreMonotone(t *testing.T) {
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
			quota := BaseQuota(account, total, members, m)
			sum += quota
			if BaseQuota(account, total+1, members, m) < quota {
				r.Fatalf("raising the total lowers the quota of %d", m)
			}
			if m != members[0] && BaseQuota(account, total, members[1:], m) < quota {
				r.Fatalf("removing a member lowers the quota of %d", m)
			}
		}
		if sum != total {
			r.Fatalf("the quotas add up to %d, not %d", sum, total)
		}
	})
}

// TestLateAndDuplicateMessagesLendNothing checks that returns that arrive out of order
// never raise a loan, and that a duplicate loan request is granted only once.
func TestLateAndDuplicateMessagesLendNothing(t *testing.T) {
	s := New(Config{Self: 1})
	s.FoldMembers(0, 1, []Member{{Incarnation: 1}})
	s.FoldTotal(0, 2, Total{Account: TeamAccount("team"), Slots: 8})
	request := LoanRequest{From: 2, To: 1, Seq: 1, Items: []LoanRequestItem{{Account: TeamAccount("team"), Slots: 5}}}
	grant := s.OnLoanRequest(0, request).Grants[0]
	if again := s.OnLoanRequest(0, request); len(again.Grants) != 0 {
		t.Fatalf("a duplicate request was granted %v", again.Grants)
	}
	s.OnLoanReturn(0, LoanReturn{From: 2, To: 1, Items: []LoanReturnItem{{ID: grant.ID, Keep: 1}}})
	s.OnLoanReturn(0, LoanReturn{From: 2, To: 1, Items: []LoanReturnItem{{ID: grant.ID, Keep: 3}}})
	s.OnLoanReturn(0, LoanReturn{From: 3, To: 1, Items: []LoanReturnItem{{ID: grant.ID, Keep: 0}}})
	if free := s.Free(0, TeamAccount("team")); free != 7 {
		t.Fatalf("%d of 8 are free, 1 is still lent", free)
	}
}

// TestLoansCarryTheRunLimit checks that a borrower with a longer run limit than its
// lender starts no work on the loan until the loan has been renewed. After that the
// lender must wait for the longer limit, also once its own limit has been lowered.
func TestLoansCarryTheRunLimit(t *testing.T) {
	team := TeamAccount("team")
	totals := []Total{{Account: team, Slots: 8}}
	lender := New(Config{Self: 1, Lease: testLease, Guard: testGuard})
	lender.FoldMembers(0, 1, []Member{{Incarnation: 1}})
	lender.FoldTotals(0, 2, totals, testRunLimit)
	borrower := New(Config{Self: 2, Lease: testLease, Guard: testGuard})
	borrower.FoldMembers(0, 1, []Member{{Incarnation: 1}})
	borrower.FoldTotals(0, 2, totals, testRunLimit)
	borrower.SetReachable([]vocab.Incarnation{1})
	borrower.SetDemand(team, 8)
	exchange := func(now vocab.Instant) {
		for _, e := range borrower.Tick(now) {
			if request, ok := e.(SendLoanRequest); ok {
				borrower.OnLoanReply(now, lender.OnLoanRequest(now, request.Request))
			}
		}
	}
	exchange(0)
	borrower.FoldTotals(0, 3, totals, 2*testRunLimit)
	if _, ok := borrower.Take(0, team); ok {
		t.Fatal("work longer than the lender waits for may start")
	}
	renewed := vocab.Instant(0).Add(loanReviewInterval)
	exchange(renewed)
	token, ok := borrower.Take(renewed, team)
	if !ok || !borrower.Valid(renewed, token) {
		t.Fatal("the renewed loan cannot be used")
	}
	lender.FoldTotals(renewed, 4, totals, testRunLimit/2)
	ends := renewed.Add(testLease + 2*testRunLimit)
	lender.Tick(ends)
	if lender.Free(ends, team) != 0 {
		t.Fatal("the lender reclaimed tokens while work on them may run")
	}
	lender.Tick(ends.Add(testGuard))
	if lender.Free(ends.Add(testGuard), team) != 8 {
		t.Fatal("the lender did not reclaim its tokens")
	}
}

// TestLoweredRunLimitDoesNotShortenLostMemberWait checks that the wait for a lost
// member's work uses the longest run limit ever folded, so that a lowered limit does
// not free the member's quota while its work may still run.
func TestLoweredRunLimitDoesNotShortenLostMemberWait(t *testing.T) {
	team := TeamAccount("team")
	totals := []Total{{Account: team, Slots: 8}}
	s := New(Config{Self: 1, Lease: testLease, Guard: testGuard})
	s.FoldMembers(0, 1, []Member{{Incarnation: 1}, {Incarnation: 2}})
	s.FoldTotals(0, 2, totals, testRunLimit)
	s.FoldTotals(0, 3, totals, testRunLimit/2)
	s.FoldMembers(0, 4, []Member{{Incarnation: 1}, {Incarnation: 2, Removal: RemovalLost, RemovedAt: 4}})
	guardStart := vocab.Instant(0).Add(testLease + testRunLimit)
	s.Tick(guardStart)
	if s.Free(guardStart, team) != 0 {
		t.Fatal("the quota of a lost member is used while its work may run")
	}
	s.Tick(guardStart.Add(testGuard))
	if s.Free(guardStart.Add(testGuard), team) != 8 {
		t.Fatal("the quota of a lost member does not become free again")
	}
}
