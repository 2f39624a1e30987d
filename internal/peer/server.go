// Package peer carries messages between entry processes with twirp: gossip,
// loans of tokens, and snapshots of the shared state.
package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/sardinehead/sardinehead/internal/core/gossip"
	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/peer/peerpb"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// pathPrefix comes before the service's name in each path.
const pathPrefix = "/p"

// Backend answers the calls of peers.
type Backend interface {
	// Exchange takes in gossip and returns this process's.
	Exchange(ctx context.Context, m gossip.Message) (gossip.Message, error)
	// Borrow answers a borrower.
	Borrow(ctx context.Context, ask limit.LoanRequest) (limit.LoanReply, error)
	// GiveBack takes tokens back.
	GiveBack(ctx context.Context, r limit.LoanReturn) error
	// Snapshot returns the shared state if it is later than the offset.
	Snapshot(ctx context.Context, folded vocab.Offset) (shared.Snapshot, bool, error)
}

// Handler serves the calls of processes that know the secret.
func Handler(b Backend, secret []byte) http.Handler {
	server := peerpb.NewPeerServer(service{backend: b}, twirp.WithServerPathPrefix(pathPrefix))
	return requireMAC(secret, server)
}

// service implements the generated interface on a Backend.
type service struct {
	backend Backend
}

// Exchange implements peerpb.Peer.
func (s service) Exchange(ctx context.Context, in *peerpb.Gossip) (*peerpb.Gossip, error) {
	out, err := s.backend.Exchange(ctx, decodeGossip(in))
	if err != nil {
		return nil, unavailable(err)
	}
	return encodeGossip(out), nil
}

// Borrow implements peerpb.Peer.
func (s service) Borrow(ctx context.Context, in *peerpb.Ask) (*peerpb.Answer, error) {
	out, err := s.backend.Borrow(ctx, decodeAsk(in))
	if err != nil {
		return nil, unavailable(err)
	}
	return encodeAnswer(out), nil
}

// GiveBack implements peerpb.Peer.
func (s service) GiveBack(ctx context.Context, in *peerpb.Return) (*peerpb.Done, error) {
	if err := s.backend.GiveBack(ctx, decodeReturn(in)); err != nil {
		return nil, unavailable(err)
	}
	return &peerpb.Done{}, nil
}

// FetchSnapshot implements peerpb.Peer.
func (s service) FetchSnapshot(ctx context.Context, in *peerpb.SnapshotRequest) (*peerpb.SnapshotResponse, error) {
	snap, ok, err := s.backend.Snapshot(ctx, vocab.Offset(in.Folded))
	if err != nil {
		return nil, unavailable(err)
	}
	if !ok {
		return &peerpb.SnapshotResponse{}, nil
	}
	return &peerpb.SnapshotResponse{
		Offset:  uint64(snap.Offset),
		Version: uint32(snap.Version),
		Digest:  snap.Digest,
		State:   snap.State,
	}, nil
}

func unavailable(err error) error {
	return twirp.Unavailable.Error(err.Error())
}
