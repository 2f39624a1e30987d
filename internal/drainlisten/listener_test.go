package drainlisten_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/drainlisten"
)

// TestQueuedConnectionIsServedDuringShutdown guards against requests in flight that a graceful stop
// aborted: their connections waited to be accepted when the listening socket was closed.
func TestQueuedConnectionIsServedDuringShutdown(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := drainlisten.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := drainlisten.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "served")
	})}, listener, 0)
	ended := make(chan error, 1)

	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	g.Expect(err).NotTo(gomega.HaveOccurred())

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	shutDown := make(chan error, 1)
	go func() { shutDown <- server.Shutdown(ctx) }()
	g.Consistently(shutDown, 50*time.Millisecond).ShouldNot(gomega.Receive())
	// A busy process accepts late.
	go func() { ended <- server.Serve(false) }()
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	answer, err := io.ReadAll(conn)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer)).To(gomega.ContainSubstring("served"))
	g.Eventually(shutDown, 5*time.Second).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(<-ended).To(gomega.MatchError(http.ErrServerClosed))
	_, err = net.Dial("tcp", listener.Addr().String())
	g.Expect(err).To(gomega.HaveOccurred(), "the listener is closed")
}

// TestClosingListenerEnds: callers that go on connecting do not keep a closing listener open.
func TestClosingListenerEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := drainlisten.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
				conn.Close()
			}
		}
	}()
	ended := make(chan error, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			conn.Close()
		}
	}()
	g.Expect(listener.Close()).To(gomega.Succeed())
	g.Expect(listener.Close()).To(gomega.Succeed())
	var cause error
	g.Eventually(ended, 5*time.Second).Should(gomega.Receive(&cause))
	g.Expect(cause).To(gomega.MatchError(net.ErrClosed))
}

// TestIdleConnectionsGiveWay: above the maximum the connection is closed that has waited the longest, and
// one with a request in progress is not.
func TestIdleConnectionsGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	before := evictions(g)
	listener, err := drainlisten.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	received, finish := make(chan struct{}), make(chan struct{})
	server := drainlisten.NewServer(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(received)
			<-finish
		}
	})}, listener, 3)
	go func() { _ = server.Serve(false) }()
	defer server.Close()
	dial := func(request string) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
		_, err = io.WriteString(conn, request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return conn
	}
	readStatus := func(conn net.Conn) string {
		line := make([]byte, len("HTTP/1.1 200"))
		_, err := io.ReadFull(conn, line)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return string(line)
	}
	slow := dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-received
	first, second := dial(""), dial("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := range 5 {
		conn := dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(readStatus(conn)).To(gomega.Equal("HTTP/1.1 200"), "connection %d", i)
	}
	for _, conn := range []net.Conn{first, second} {
		_, err := conn.Read(make([]byte, 1))
		g.Expect(err).To(gomega.HaveOccurred(), "the connection is closed")
	}
	close(finish)
	g.Expect(readStatus(slow)).To(gomega.Equal("HTTP/1.1 200"))
	g.Expect(evictions(g) - before).To(gomega.Equal(5))
}

// evictions returns the number of evicted connections from the metrics.
func evictions(g *gomega.WithT) int {
	var page bytes.Buffer
	drainlisten.WriteMetrics(&page)
	var n int
	_, err := fmt.Sscanf(page.String(), "sardinehead_connections_evicted_total %d", &n)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return n
}
