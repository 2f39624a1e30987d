package peer

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/peer/peerpb"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

func encodeAsk(a limit.LoanRequest) *peerpb.Ask {
	out := &peerpb.Ask{
		From:  uint64(a.From),
		To:    uint64(a.To),
		Seq:   a.Seq,
		RunMs: uint64(a.RunLimit.Milliseconds()),
		Renew: encodeLoanIDs(a.Renew),
	}
	for _, item := range a.Items {
		out.Items = append(out.Items, &peerpb.AskItem{
			Kind:  uint32(item.Account.Kind),
			Name:  item.Account.Name,
			Slots: uint32(item.Slots),
		})
	}
	return out
}

func decodeAsk(a *peerpb.Ask) limit.LoanRequest {
	out := limit.LoanRequest{
		From:     vocab.Incarnation(a.From),
		To:       vocab.Incarnation(a.To),
		Seq:      a.Seq,
		RunLimit: time.Duration(a.RunMs) * time.Millisecond,
		Renew:    decodeLoanIDs(a.Renew),
	}
	for _, item := range a.Items {
		out.Items = append(out.Items, limit.LoanRequestItem{
			Account: account(item.Kind, item.Name),
			Slots:   vocab.Slots(item.Slots),
		})
	}
	return out
}

func encodeAnswer(a limit.LoanReply) *peerpb.Answer {
	out := &peerpb.Answer{From: uint64(a.From), Seq: a.Seq, Refused: encodeLoanIDs(a.Refused)}
	for _, g := range a.Grants {
		out.Grants = append(out.Grants, &peerpb.Grant{
			Id:    uint64(g.ID),
			Kind:  uint32(g.Account.Kind),
			Name:  g.Account.Name,
			Slots: uint32(g.Slots),
		})
	}
	for _, n := range a.Surplus {
		out.Spare = append(out.Spare, uint32(n))
	}
	return out
}

func decodeAnswer(a *peerpb.Answer) limit.LoanReply {
	out := limit.LoanReply{From: vocab.Incarnation(a.From), Seq: a.Seq, Refused: decodeLoanIDs(a.Refused)}
	for _, g := range a.Grants {
		out.Grants = append(out.Grants, limit.Grant{
			ID:      limit.LoanID(g.Id),
			Account: account(g.Kind, g.Name),
			Slots:   vocab.Slots(g.Slots),
		})
	}
	for _, n := range a.Spare {
		out.Surplus = append(out.Surplus, vocab.Slots(n))
	}
	return out
}

func encodeReturn(r limit.LoanReturn) *peerpb.Return {
	out := &peerpb.Return{From: uint64(r.From), To: uint64(r.To)}
	for _, item := range r.Items {
		out.Items = append(out.Items, &peerpb.ReturnItem{Id: uint64(item.ID), Keep: uint32(item.Keep)})
	}
	return out
}

func decodeReturn(r *peerpb.Return) limit.LoanReturn {
	out := limit.LoanReturn{From: vocab.Incarnation(r.From), To: vocab.Incarnation(r.To)}
	for _, item := range r.Items {
		out.Items = append(out.Items, limit.LoanReturnItem{ID: limit.LoanID(item.Id), Keep: vocab.Slots(item.Keep)})
	}
	return out
}

func account(kind uint32, name string) limit.Account {
	return limit.Account{Kind: limit.Kind(kind), Name: name}
}

func encodeLoanIDs(ids []limit.LoanID) []uint64 {
	out := make([]uint64, len(ids))
	for i, id := range ids {
		out[i] = uint64(id)
	}
	return out
}

func decodeLoanIDs(ids []uint64) []limit.LoanID {
	out := make([]limit.LoanID, len(ids))
	for i, id := range ids {
		out[i] = limit.LoanID(id)
	}
	return out
}
