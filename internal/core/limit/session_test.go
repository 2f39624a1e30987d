package limit

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// session is a small fleet that a golden file steps by command. All clocks
// agree, and every message to a running node arrives at once.
type session struct {
	now    vocab.Instant
	nodes  map[vocab.Incarnation]*State
	tokens map[vocab.Incarnation][]Token
	out    strings.Builder
}

// TestSessions replays the golden files. Run with -rewrite to update them.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{nodes: map[vocab.Incarnation]*State{}, tokens: map[vocab.Incarnation][]Token{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			s.runCommand(t, d)
			return s.out.String()
		})
	})
}

func (s *session) runCommand(t *testing.T, d *datadriven.TestData) {
	var id, offset, n, total int
	var ids []int
	d.MaybeScanArgs(t, "node", &id)
	d.MaybeScanArgs(t, "offset", &offset)
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "total", &total)
	node := s.nodes[vocab.Incarnation(id)]
	team := TeamAccount("team")
	switch d.Cmd {
	case "start":
		s.nodes[vocab.Incarnation(id)] = New(Config{Self: vocab.Incarnation(id), Lease: testLease, Guard: testGuard})
	case "kill":
		delete(s.nodes, vocab.Incarnation(id))
	case "members":
		d.ScanArgs(t, "present", &ids)
		s.foldMembers(vocab.Offset(offset), ids, id)
	case "total":
		for _, id := range s.ids() {
			s.nodes[id].FoldTotal(s.now, vocab.Offset(offset), Total{Account: team, Slots: vocab.Slots(total)})
			s.nodes[id].FoldTotals(s.now, vocab.Offset(offset), []Total{{Account: team, Slots: vocab.Slots(total)}}, testRunLimit)
		}
	case "demand":
		node.SetDemand(team, vocab.Slots(n))
	case "take":
		for range n {
			if token, ok := node.Take(s.now, team); ok {
				s.tokens[vocab.Incarnation(id)] = append(s.tokens[vocab.Incarnation(id)], token)
			}
		}
	case "release":
		for range n {
			held := s.tokens[vocab.Incarnation(id)]
			node.Release(s.now, held[0])
			s.tokens[vocab.Incarnation(id)] = held[1:]
		}
	case "pass":
		s.advance(time.Duration(n) * time.Second)
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	s.printAccounts(team)
}

func (s *session) ids() []vocab.Incarnation { return slices.Sorted(maps.Keys(s.nodes)) }

// foldMembers makes all nodes fold a set of members; lost is a member lost at
// that offset, or 0.
func (s *session) foldMembers(at vocab.Offset, ids []int, lost int) {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{Incarnation: vocab.Incarnation(id)})
	}
	if lost != 0 {
		members = append(members, Member{Incarnation: vocab.Incarnation(lost), Removal: RemovalLost, RemovedAt: at})
	}
	for _, id := range s.ids() {
		s.nodes[id].FoldMembers(s.now, at, members)
	}
}

func (s *session) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(500 * time.Millisecond)
		for _, id := range s.ids() {
			s.nodes[id].SetReachable(s.ids())
			dump := s.nodes[id].Dump()
			for _, other := range s.ids() {
				s.nodes[other].OnSettled(s.now, id, dump.Settled, dump.Confirmed)
			}
			s.sendMessages(s.nodes[id].Tick(s.now))
		}
	}
}

func (s *session) sendMessages(effects []event.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendLoanRequest:
			if lender, ok := s.nodes[e.Request.To]; ok {
				reply := lender.OnLoanRequest(s.now, e.Request)
				fmt.Fprintf(&s.out, "ask %d->%d %v renew %v: granted %v refused %v\n",
					e.Request.From, e.Request.To, e.Request.Items, e.Request.Renew, reply.Grants, reply.Refused)
				s.sendMessages(s.nodes[e.Request.From].OnLoanReply(s.now, reply))
			}
		case SendLoanReturn:
			fmt.Fprintf(&s.out, "return %d->%d %v\n", e.Return.From, e.Return.To, e.Return.Items)
			if lender, ok := s.nodes[e.Return.To]; ok {
				lender.OnLoanReturn(s.now, e.Return)
			}
		}
	}
}

func (s *session) printAccounts(a Account) {
	for _, id := range s.ids() {
		for _, d := range s.nodes[id].Dump().Accounts {
			fmt.Fprintf(&s.out, "%v node %d: home %d allowed %d own %d lent %d borrowed %d running %d free %d\n",
				time.Duration(s.now), id, d.BaseQuota, d.Quota, d.OwnRunning, d.Lent, d.Borrowed, d.BorrowedRunning, s.nodes[id].Free(s.now, a))
		}
	}
}
