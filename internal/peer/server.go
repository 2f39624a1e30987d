// Package peer implements the RPC protocol between entry processes, which uses
// twirp: gossip, loans of quota, and snapshots of the shared state.
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

// pathPrefix precedes the service's name in the URL path of each call.
const pathPrefix = "/p"

// Backend handles the calls of peers.
type Backend interface {
	// Exchange receives a peer's gossip and returns the gossip of this process.
	Exchange(ctx context.Context, m gossip.Message) (gossip.Message, error)
	// Borrow handles a loan request.
	Borrow(ctx context.Context, request limit.LoanRequest) (limit.LoanReply, error)
	// GiveBack receives a loan return.
	GiveBack(ctx context.Context, r limit.LoanReturn) error
	// Snapshot returns a snapshot of the shared state, or false if this process
	// has folded no record after the offset folded.
	Snapshot(ctx context.Context, folded vocab.Offset) (shared.Snapshot, bool, error)
}

// Handler returns a handler that serves the calls of peers and refuses calls
// that are not signed with the secret.
func Handler(b Backend, secret []byte) http.Handler {
	server := peerpb.NewPeerServer(service{backend: b}, twirp.WithServerPathPrefix(pathPrefix))
	return requireMAC(secret, server)
}

// service implements the generated interface peerpb.Peer with a Backend.
type service struct {
	backend Backend
}

// Exchange implements peerpb.Peer.
func (s service) Exchange(ctx context.Context, in *peerpb.Gossip) (*peerpb.Gossip, error) {
	out, err := s.backend.Exchange(ctx, decodeGossip(in))
	if err != nil {
		return nil, unavailableError(err)
	}
	return encodeGossip(out), nil
}

// Borrow implements peerpb.Peer.
func (s service) Borrow(ctx context.Context, in *peerpb.Ask) (*peerpb.Answer, error) {
	out, err := s.backend.Borrow(ctx, decodeLoanRequest(in))
	if err != nil {
		return nil, unavailableError(err)
	}
	return encodeLoanReply(out), nil
}

// GiveBack implements peerpb.Peer.
func (s service) GiveBack(ctx context.Context, in *peerpb.Return) (*peerpb.Done, error) {
	if err := s.backend.GiveBack(ctx, decodeLoanReturn(in)); err != nil {
		return nil, unavailableError(err)
	}
	return &peerpb.Done{}, nil
}

// FetchSnapshot implements peerpb.Peer.
func (s service) FetchSnapshot(ctx context.Context, in *peerpb.SnapshotRequest) (*peerpb.SnapshotResponse, error) {
	snap, ok, err := s.backend.Snapshot(ctx, vocab.Offset(in.Folded))
	if err != nil {
		return nil, unavailableError(err)
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

func unavailableError(err error) error {
	return twirp.Unavailable.Error(err.Error())
}
