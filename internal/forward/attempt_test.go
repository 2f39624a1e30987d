package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/forward"
)

// TestNothingIsSentAfterSendBy sends attempts after their SendBy, on a new and on a
// reused connection. The upstream must not receive them.
func TestNothingIsSentAfterSendBy(t *testing.T) {
	g := gomega.NewWithT(t)
	var served atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer upstream.Close()
	client := forward.New("test")
	defer client.Close()
	attempt := forward.Attempt{
		ID: 1, VM: "vm-1", Address: strings.TrimPrefix(upstream.URL, "http://"), IdleConnections: 2, Reuse: true,
		Method: http.MethodGet, Target: "/", Body: http.NoBody, FirstByte: 5 * time.Second, Run: 5 * time.Second,
	}
	report := client.Send(context.Background(), attempt, httptest.NewRecorder())
	g.Expect(report.Result).To(gomega.Equal(retry.Completed), "%v", report.Cause)
	attempt.SendBy = time.Now().Add(-time.Millisecond)
	for _, reuse := range []bool{true, false} {
		attempt.Reuse = reuse
		report = client.Send(context.Background(), attempt, httptest.NewRecorder())
		g.Expect(report.Result).To(gomega.Equal(retry.NotSent), "%v", report.Cause)
	}
	g.Expect(served.Load()).To(gomega.Equal(int64(1)))
}
