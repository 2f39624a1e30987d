package peer

import (
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/peer/peerpb"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// FuzzGossip checks that any decoded gossip message is unchanged by encoding and
// decoding, and that the reducer still replies and dispatches requests after
// receiving it.
func FuzzGossip(f *testing.F) {
	add := func(m gossip.Message) {
		raw, err := proto.Marshal(encodeGossip(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	add(gossip.Message{})
	add(gossip.Message{
		From: 7,
		Reports: []gossip.Report{{
			Process: 7, Counter: 3, Node: "n", Address: "10.0.0.1:7002", Folded: 9, Digest: 1, Settled: 9, Confirmed: 8,
			Silent: []vocab.Incarnation{1, 2}, Demand: []gossip.Demand{{Pool: 1 << 31, Team: 4, Slots: 1.5, AccumulatedServiceMillis: 1 << 63}},
			BusyUnreadyVMs: []vocab.VMID{"v"},
		}},
		Leaving:   []gossip.Leaving{{VM: "v", Incarnation: 2}},
		Withdrawn: []vocab.KeyID{"k"},
	})
	add(gossip.Message{From: 2, Reports: []gossip.Report{{
		Process: 2, Counter: 1, Revision: 1, Demand: []gossip.Demand{
			{Slots: float32(math.NaN())}, {Slots: float32(math.Inf(1)), AccumulatedServiceMillis: math.MaxUint64}, {Slots: -1},
		},
	}}})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var wire peerpb.Gossip
		if proto.Unmarshal(raw, &wire) != nil {
			return
		}
		m := decodeGossip(&wire)
		if decoded := decodeGossip(encodeGossip(m)); !equalGossip(decoded, m) {
			t.Fatalf("encoding and decoding changed %+v to %+v", m, decoded)
		}
		s := newSoleMember(t)
		replied := false
		for _, e := range s.Step(1, core.GossipArrived{Call: 5, Message: m}) {
			reply, ok := e.(core.ReplyGossip)
			replied = replied || ok && reply.Call == 5
		}
		if !replied {
			t.Fatal("no reply to the gossip")
		}
		for i := range 30 {
			s.Step(vocab.Instant(i)*vocab.Instant(time.Second), core.Tick{})
		}
		if len(m.Leaving) == 0 && !dispatchesRequest(s) {
			t.Fatal("the node no longer dispatches requests to its only VM")
		}
	})
}

// newSoleMember returns the state of a node that is the only member, with one VM
// and a queue that is open to all teams.
func newSoleMember(t *testing.T) *core.State {
	s := core.New(core.Identity{Node: "n", Incarnation: 1, Zone: "z"})
	fleet := spec.Fleet{
		Teams: []spec.Team{{Name: "t", Share: 1, UpperLimit: 4}},
		Pools: []spec.Pool{{Name: "p", VMs: 1, Slots: 4, MaxConnections: 8, Zones: []vocab.ZoneID{"z"}}},
		Services: []spec.Service{{
			Queue: "q", Pool: "p", Open: true, QueueLimits: spec.QueueLimits{MaxQueued: 10, MaxQueuedPerTeam: 10},
			TimeLimits: spec.TimeLimits{Queue: spec.Duration(time.Second), FirstByte: spec.Duration(time.Second), Run: spec.Duration(time.Second)},
		}},
	}
	for i, body := range []record.Body{record.ConfigPublished{Fleet: fleet}, record.NodeJoined{Node: "n", Incarnation: 1, Zone: "z"}} {
		envelope, err := record.Encode(vocab.RecordID(string(rune('a'+i))), body)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(1, core.RecordsRead{Records: []record.Sequenced{{Offset: vocab.Offset(i + 1), Envelope: envelope}}})
	}
	s.Step(1, core.VMsListed{Version: 1, Rows: []observe.Row{{Name: "v", Incarnation: 1, Pool: "p", Zone: "z", Phase: observe.ListLive}}})
	return s
}

// dispatchesRequest reports whether a new request is dispatched.
func dispatchesRequest(s *core.State) bool {
	for _, e := range s.Step(vocab.Instant(31*time.Second), core.RequestArrived{Request: 1, Queue: "q", Method: "GET", Path: "/"}) {
		if _, ok := e.(core.Dispatch); ok {
			return true
		}
	}
	return false
}

// equalGossip compares messages and treats NaN as equal to NaN.
func equalGossip(a, b gossip.Message) bool {
	for _, m := range []gossip.Message{a, b} {
		for i := range m.Reports {
			for j := range m.Reports[i].Demand {
				if d := &m.Reports[i].Demand[j]; d.Slots != d.Slots {
					d.Slots = -1
				}
			}
		}
	}
	return reflect.DeepEqual(a, b)
}

// FuzzLoans checks that any loan request, reply and return can be decoded, that a
// reply is unchanged by encoding and decoding, and that a reducer without quota
// grants no loan.
func FuzzLoans(f *testing.F) {
	raw, err := proto.Marshal(encodeLoanRequest(limit.LoanRequest{
		From: 2, To: 1, Seq: 1, RunLimit: time.Second, Renew: []limit.LoanID{1},
		Items: []limit.LoanRequestItem{{Account: limit.TeamAccount("t"), Slots: 3}, {Account: limit.PoolAccount("p"), Slots: 1 << 30}},
	}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := core.New(core.Identity{Node: "n", Incarnation: 1})
		var request peerpb.Ask
		if proto.Unmarshal(raw, &request) == nil {
			for _, e := range s.Step(1, core.LoanRequestArrived{Call: 1, Request: decodeLoanRequest(&request)}) {
				if reply, ok := e.(core.ReplyLoanRequest); ok && len(reply.Reply.Grants) > 0 {
					t.Fatalf("a process without quota grants %+v", reply.Reply.Grants)
				}
			}
		}
		var reply peerpb.Answer
		if proto.Unmarshal(raw, &reply) == nil {
			decoded := decodeLoanReply(&reply)
			if !reflect.DeepEqual(decodeLoanReply(encodeLoanReply(decoded)), decoded) {
				t.Fatalf("encoding and decoding changed %+v", decoded)
			}
			s.Step(2, limit.LoanReplyArrived{Reply: decoded})
		}
		var loanReturn peerpb.Return
		if proto.Unmarshal(raw, &loanReturn) == nil {
			s.Step(3, limit.LoanReturnArrived{Return: decodeLoanReturn(&loanReturn)})
		}
	})
}
