package bodylimit_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/bodylimit"
)

// testServer is a server that reads bodies.
type testServer struct {
	*httptest.Server
	// received is the number of bytes of bodies that the handlers have read.
	received atomic.Int64
}

// Write implements io.Writer.
func (s *testServer) Write(p []byte) (int, error) {
	s.received.Add(int64(len(p)))
	return len(p), nil
}

func newServer(t *testing.T, l bodylimit.Limits) *testServer {
	s := &testServer{}
	s.Server = httptest.NewServer(l.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(io.TeeReader(r.Body, s)); err != nil && !bodylimit.Refuse(w, err) {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})))
	t.Cleanup(s.Close)
	return s
}

// hold sends a request with a body that lacks its last byte, and leaves the connection open.
func hold(t *testing.T, server *testServer, size int) net.Conn {
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	header := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, header+"fffffff\r\n"+strings.Repeat("x", size)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// send sends a request with a body and returns the response.
func send(g *gomega.WithT, server *testServer, body io.Reader) *http.Response {
	resp, err := http.Post(server.URL, "text/plain", body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
	return resp
}

// refusals returns the number of refused bodies from the metrics.
func refusals(reason string) string {
	var out bytes.Buffer
	bodylimit.WriteMetrics(&out)
	_, rest, _ := strings.Cut(out.String(), `{reason="`+reason+`"} `)
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

func TestBodiesBeyondTheBudgetAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := bodylimit.NewBudget(1 << 20)
	server := newServer(t, bodylimit.Limits{Budget: budget, MaxBytes: 1 << 20, Timeout: time.Minute})
	before := refusals("memory")
	held := hold(t, server, 600<<10)
	g.Eventually(server.received.Load, 10*time.Second).Should(gomega.BeNumerically(">=", 500<<10))
	large := func() *http.Response { return send(g, server, bytes.NewReader(make([]byte, 600<<10))) }
	refused := large()
	g.Expect(refused.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(refused.Header.Get("Retry-After")).To(gomega.Equal("1"))
	g.Expect(refused.Close).To(gomega.BeTrue(), "the connection is closed")
	g.Expect(refusals("memory")).NotTo(gomega.Equal(before))
	g.Expect(send(g, server, bytes.NewReader(make([]byte, 60<<10))).StatusCode).To(gomega.Equal(http.StatusOK), "a small body")

	g.Expect(held.Close()).To(gomega.Succeed())
	g.Eventually(func() int { return large().StatusCode }, 10*time.Second).Should(gomega.Equal(http.StatusOK), "the memory is free again")
}

// TestOrdinaryBodyPassesBesideSmallBodiesHeldOpen: small bodies held open use up the reserve.
func TestOrdinaryBodyPassesBesideSmallBodiesHeldOpen(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := bodylimit.NewBudget(256 << 10)
	server := newServer(t, bodylimit.Limits{Budget: budget, MaxBytes: 1 << 20, Timeout: time.Minute})
	before := refusals("memory")
	for range 8 {
		hold(t, server, 60<<10)
	}
	g.Eventually(func() string { return refusals("memory") }, 10*time.Second).ShouldNot(gomega.Equal(before))
	g.Expect(send(g, server, bytes.NewReader(make([]byte, 8<<10))).StatusCode).To(gomega.Equal(http.StatusOK))
}

func TestBodiesFarOverTheLimitAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	budget, before := bodylimit.NewBudget(64<<20), refusals("size")
	server := newServer(t, bodylimit.Limits{Budget: budget, MaxBytes: 1 << 10, Timeout: time.Minute})
	for _, body := range []io.Reader{
		bytes.NewReader(make([]byte, 2<<10)),
		io.MultiReader(bytes.NewReader(make([]byte, 2<<10))), // of unknown length
	} {
		resp := send(g, server, body)
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
		g.Expect(resp.Close).To(gomega.BeTrue(), "the connection is closed")
	}
	g.Expect(refusals("size")).NotTo(gomega.Equal(before))
	g.Expect(send(g, server, bytes.NewReader(make([]byte, 1<<10))).StatusCode).To(gomega.Equal(http.StatusOK))
}

func TestBodyWithoutProgressIsGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	server := newServer(t, bodylimit.Limits{Budget: bodylimit.NewBudget(1 << 20), MaxBytes: 1 << 20, Timeout: 50 * time.Millisecond})
	conn := hold(t, server, 100)
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	answer, err := io.ReadAll(conn)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer)).To(gomega.ContainSubstring("400 Bad Request"))
}

// TestHandlerMayTakeLongerThanTheBodyTimeout: the timeout of a body that has been read does not end
// the request.
func TestHandlerMayTakeLongerThanTheBodyTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	const timeout = 20 * time.Millisecond
	ended := make(chan error, 1)
	l := bodylimit.Limits{Budget: bodylimit.NewBudget(1 << 20), Timeout: timeout}
	server := httptest.NewServer(l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		time.Sleep(5 * timeout)
		ended <- r.Context().Err()
	})))
	defer server.Close()
	send(g, &testServer{Server: server}, strings.NewReader("x"))
	g.Expect(<-ended).To(gomega.Succeed())
}

// TestStreamedBodiesAreNotCounted: a body that is passed on may be larger than the budget, one that is kept not.
func TestStreamedBodiesAreNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	l := bodylimit.Limits{Budget: bodylimit.NewBudget(1 << 20), Timeout: time.Minute, Streams: true}
	server := httptest.NewServer(l.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kept" {
			bodylimit.Keep(r)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil && !bodylimit.Refuse(w, err) {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})))
	defer server.Close()
	for path, expected := range map[string]int{"/": http.StatusOK, "/kept": http.StatusServiceUnavailable} {
		resp, err := http.Post(server.URL+path, "text/plain", bytes.NewReader(make([]byte, 2<<20)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(expected), path)
		_ = resp.Body.Close()
	}
}
