// Package jobpeer forwards callers' calls from one entry node to another over Twirp. A
// forwarded call has exactly the rights of its caller's key.
package jobpeer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/jobpeer/jobpeerpb"
)

// MaxBodyBytes is the maximum size of the body of a call: that of a caller's request, which takes more
// bytes once it is encoded again.
const MaxBodyBytes = 4 << 20

// pathPrefix precedes the service name in the URL path of each call.
const pathPrefix = "/p"

// Backend handles callers' calls.
type Backend interface {
	// Call posts the event that request returns for the ID of the call, and waits for the
	// reply. about is the job that the call concerns; it is empty for a call about a queue.
	Call(ctx context.Context, about job.ID, request func(job.CallID) event.Event) (job.Reply, error)
	// ReceiveOwnershipOffer receives the offer of the ownership from the owner with this fencing token.
	ReceiveOwnershipOffer(fence job.Fence)
	// PrepareForOwnership prepares the node for the ownership of the owner with this fencing
	// token, and reports whether it is ready for it and how many of the workers it reaches.
	PrepareForOwnership(ctx context.Context, fence job.Fence, probes []job.Probe) (ready bool, reached int, err error)
}

// Handler returns the HTTP handler for calls from other entry nodes.
func Handler(b Backend) http.Handler {
	return jobpeerpb.NewJobsServer(service{b}, twirp.WithServerPathPrefix(pathPrefix))
}

// service implements jobpeerpb.Jobs with a Backend.
type service struct {
	backend Backend
}

// Pass implements jobpeerpb.Jobs.
func (s service) Pass(ctx context.Context, in *jobpeerpb.Call) (*jobpeerpb.Answer, error) {
	request, err := decodeCall(in)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	if in.WithinMs == 0 {
		return nil, twirp.InvalidArgument.Error("the call names no time to wait")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.WithinMs)*time.Millisecond)
	defer cancel()
	reply, err := s.backend.Call(ctx, request.ID, request.Event)
	if err != nil {
		return nil, twirp.DeadlineExceeded.Error(err.Error())
	}
	return &jobpeerpb.Answer{
		Answer: uint32(reply.Answer), State: uint32(reply.State), Pending: uint64(reply.Pending),
		RetryAfterMs: uint64(reply.RetryAfter.Milliseconds()), Detail: reply.Detail,
		ConfigVersion: reply.ConfigVersion,
	}, nil
}

// Offer implements jobpeerpb.Jobs.
func (s service) Offer(_ context.Context, in *jobpeerpb.OwnershipOffer) (*jobpeerpb.Taken, error) {
	s.backend.ReceiveOwnershipOffer(job.Fence(in.Fence))
	return &jobpeerpb.Taken{}, nil
}

// Prepare implements jobpeerpb.Jobs.
func (s service) Prepare(ctx context.Context, in *jobpeerpb.HandoverRequest) (*jobpeerpb.Prepared, error) {
	if len(in.Probes) > job.MaxProbes {
		return nil, twirp.InvalidArgument.Error("too many workers to reach")
	}
	probes := make([]job.Probe, 0, len(in.Probes))
	for _, p := range in.Probes {
		probes = append(probes, job.Probe{Worker: job.WorkerID(p.Worker), Address: p.Address, Incarnation: job.Millis(p.Incarnation)})
	}
	ready, reached, err := s.backend.PrepareForOwnership(ctx, job.Fence(in.Fence), probes)
	if err != nil {
		return nil, twirp.DeadlineExceeded.Error(err.Error())
	}
	return &jobpeerpb.Prepared{Ready: ready, Reached: uint32(reached)}, nil
}

// requestKinds maps the kinds of calls on the wire to those of package job.
var requestKinds = map[jobpeerpb.Call_Kind]job.RequestKind{
	jobpeerpb.Call_SUBMIT: job.RequestSubmit, jobpeerpb.Call_QUERY: job.RequestQuery,
	jobpeerpb.Call_CANCEL: job.RequestCancel, jobpeerpb.Call_BACKLOG: job.RequestBacklog,
}

func decodeCall(in *jobpeerpb.Call) (job.Request, error) {
	kind, ok := requestKinds[in.Kind]
	if !ok {
		return job.Request{}, ErrBadCall
	}
	r := job.Request{
		Kind: kind, ID: job.ID(in.Job), Host: in.Host, Path: in.Path, Key: in.Key, ConfigAtLeast: in.ConfigAtLeast, FromRemote: in.FromRemote,
	}
	if kind != job.RequestSubmit {
		return r, nil
	}
	if err := json.Unmarshal(in.Spec, &r.Spec); err != nil {
		return job.Request{}, ErrBadCall
	}
	return r, nil
}
