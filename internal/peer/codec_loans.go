package peer

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/peer/peerpb"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

func encodeLoanRequest(r limit.LoanRequest) *peerpb.Ask {
	out := &peerpb.Ask{
		From:  uint64(r.From),
		To:    uint64(r.To),
		Seq:   r.Seq,
		RunMs: uint64(r.RunLimit.Milliseconds()),
		Renew: encodeLoanIDs(r.Renew),
	}
	for _, item := range r.Items {
		out.Items = append(out.Items, &peerpb.AskItem{
			Kind:  uint32(item.Account.Kind),
			Name:  item.Account.Name,
			Slots: uint32(item.Slots),
		})
	}
	return out
}

func decodeLoanRequest(r *peerpb.Ask) limit.LoanRequest {
	out := limit.LoanRequest{
		From:     vocab.Incarnation(r.From),
		To:       vocab.Incarnation(r.To),
		Seq:      r.Seq,
		RunLimit: time.Duration(r.RunMs) * time.Millisecond,
		Renew:    decodeLoanIDs(r.Renew),
	}
	for _, item := range r.Items {
		out.Items = append(out.Items, limit.LoanRequestItem{
			Account: decodeAccount(item.Kind, item.Name),
			Slots:   vocab.Slots(item.Slots),
		})
	}
	return out
}

func encodeLoanReply(r limit.LoanReply) *peerpb.Answer {
	out := &peerpb.Answer{From: uint64(r.From), Seq: r.Seq, Refused: encodeLoanIDs(r.Refused)}
	for _, g := range r.Grants {
		out.Grants = append(out.Grants, &peerpb.Grant{
			Id:    uint64(g.ID),
			Kind:  uint32(g.Account.Kind),
			Name:  g.Account.Name,
			Slots: uint32(g.Slots),
		})
	}
	for _, n := range r.Surplus {
		out.Spare = append(out.Spare, uint32(n))
	}
	return out
}

func decodeLoanReply(r *peerpb.Answer) limit.LoanReply {
	out := limit.LoanReply{From: vocab.Incarnation(r.From), Seq: r.Seq, Refused: decodeLoanIDs(r.Refused)}
	for _, g := range r.Grants {
		out.Grants = append(out.Grants, limit.Grant{
			ID:      limit.LoanID(g.Id),
			Account: decodeAccount(g.Kind, g.Name),
			Slots:   vocab.Slots(g.Slots),
		})
	}
	for _, n := range r.Spare {
		out.Surplus = append(out.Surplus, vocab.Slots(n))
	}
	return out
}

func encodeLoanReturn(r limit.LoanReturn) *peerpb.Return {
	out := &peerpb.Return{From: uint64(r.From), To: uint64(r.To)}
	for _, item := range r.Items {
		out.Items = append(out.Items, &peerpb.ReturnItem{Id: uint64(item.ID), Keep: uint32(item.Keep)})
	}
	return out
}

func decodeLoanReturn(r *peerpb.Return) limit.LoanReturn {
	out := limit.LoanReturn{From: vocab.Incarnation(r.From), To: vocab.Incarnation(r.To)}
	for _, item := range r.Items {
		out.Items = append(out.Items, limit.LoanReturnItem{ID: limit.LoanID(item.Id), Keep: vocab.Slots(item.Keep)})
	}
	return out
}

func decodeAccount(kind uint32, name string) limit.Account {
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
