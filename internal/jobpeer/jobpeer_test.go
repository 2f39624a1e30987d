package jobpeer_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/event"
	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/jobpeer"
)

// backend records the event of the last call and returns a fixed reply, or none if hang is
// set.
type backend struct {
	event event.Event
	reply job.Reply
	hang  bool
	fence job.Fence
	// probes are those of the last request to prepare for the ownership.
	probes []job.Probe
}

func (b *backend) ReceiveOwnershipOffer(fence job.Fence) { b.fence = fence }

func (b *backend) PrepareForOwnership(_ context.Context, fence job.Fence, probes []job.Probe) (bool, int, error) {
	b.fence, b.probes = fence, probes
	return !b.hang, len(probes) - 1, nil
}

func (b *backend) Call(ctx context.Context, _ job.ID, request func(job.CallID) event.Event) (job.Reply, error) {
	b.event = request(7)
	if b.hang {
		<-ctx.Done()
		return job.Reply{}, ctx.Err()
	}
	return b.reply, nil
}

// withTimeout returns a context that ends with the test at the latest.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func addressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// TestForwardedCallAndReplyRoundTrip checks that a forwarded call and its reply arrive
// unchanged.
func TestForwardedCallAndReplyRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &backend{reply: job.Reply{
		Answer: job.Refused, State: job.PhaseRunning, Pending: 12, RetryAfter: 1500 * time.Millisecond, Detail: "d",
		ConfigVersion: 9,
	}}
	server := httptest.NewServer(jobpeer.Handler(b))
	defer server.Close()
	for _, kind := range []job.RequestKind{job.RequestSubmit, job.RequestQuery, job.RequestCancel, job.RequestBacklog} {
		r := job.Request{Kind: kind, ID: "00000000000000aa", Host: "h", Path: "/q/x", Key: "k", ConfigAtLeast: 5}
		switch kind {
		case job.RequestSubmit:
			r.Spec = job.Spec{Payload: "p", Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 5}, After: []int{0}}}}
		case job.RequestBacklog:
			r.ID = ""
		}
		reply, outcome, err := jobpeer.NewClient().Forward(withTimeout(t, 5*time.Second), addressOf(server), r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(outcome).To(gomega.Equal(job.OK))
		g.Expect(reply).To(gomega.Equal(b.reply))
		g.Expect(b.event).To(gomega.Equal(r.Event(7)))
	}
}

// TestForwardOutcomeAfterFailure checks that a failed call is reported as not done only if it
// certainly did not reach the other node.
func TestForwardOutcomeAfterFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(jobpeer.Handler(&backend{hang: true}))
	_, outcome, err := jobpeer.NewClient().Forward(withTimeout(t, 200*time.Millisecond), addressOf(server), job.Request{Kind: job.RequestCancel, ID: "a"})
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(outcome).To(gomega.Equal(job.Unknown))
	server.Close()
	_, outcome, err = jobpeer.NewClient().Forward(withTimeout(t, 5*time.Second), addressOf(server), job.Request{Kind: job.RequestCancel, ID: "a"})
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(outcome).To(gomega.Equal(job.NotDone))
}

// TestOfferDeliversFence checks that an offer of the ownership delivers the owner's fencing
// token, and that a failed delivery is reported.
func TestOfferDeliversFence(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &backend{}
	server := httptest.NewServer(jobpeer.Handler(b))
	g.Expect(jobpeer.NewClient().OfferOwnership(withTimeout(t, 5*time.Second), addressOf(server), 7)).To(gomega.Succeed())
	g.Expect(b.fence).To(gomega.Equal(job.Fence(7)))
	server.Close()
	g.Expect(jobpeer.NewClient().OfferOwnership(withTimeout(t, 5*time.Second), addressOf(server), 8)).NotTo(gomega.Succeed())
}

// TestPrepareHandoverRoundTrip checks that a request to prepare for the ownership and the response
// arrive, and that requests with too many workers are refused.
func TestPrepareHandoverRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, ready := range []bool{true, false} {
		b := &backend{hang: !ready}
		server := httptest.NewServer(jobpeer.Handler(b))
		defer server.Close()
		request := job.PrepareHandover{
			Address: addressOf(server), Fence: 41,
			Probes: []job.Probe{{Worker: "w1", Address: "a:1", Incarnation: 7}, {Worker: "w2", Address: "a:2", Incarnation: 8}},
		}
		got, reached, err := jobpeer.NewClient().PrepareHandover(withTimeout(t, 5*time.Second), request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(ready))
		g.Expect(reached).To(gomega.Equal(1))
		g.Expect(b.fence).To(gomega.Equal(job.Fence(41)))
		g.Expect(b.probes).To(gomega.Equal(request.Probes))
		request.Probes = make([]job.Probe, job.MaxProbes+1)
		_, _, err = jobpeer.NewClient().PrepareHandover(withTimeout(t, 5*time.Second), request)
		g.Expect(err).To(gomega.HaveOccurred())
	}
}
