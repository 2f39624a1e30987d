package command

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/settings"
)

// TestRequestsInProgressAreAnsweredAtTheEnd: a request that reached a process in the last moments
// of its graceful stop had its connection closed without an answer.
func TestRequestsInProgressAreAnsweredAtTheEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())

	node, endNode := context.WithCancel(context.Background())
	received, stop := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-node.Done()
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	var group run.Group
	group.Add(func() error { <-node.Done(); return nil }, func(error) { endNode() })
	g.Expect(addHTTPServer(&group, settings.Address{AddrPort: netip.MustParseAddrPort(address)}, handler, 0)).To(gomega.Succeed())
	group.Add(func() error { <-stop; return nil }, func(error) {})
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()

	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + address)
		if err != nil {
			status <- 0
			return
		}
		defer resp.Body.Close()
		status <- resp.StatusCode
	}()
	g.Eventually(received, 5*time.Second).Should(gomega.BeClosed())
	close(stop)
	g.Eventually(status, 5*time.Second).Should(gomega.Receive(gomega.Equal(http.StatusGatewayTimeout)))
	g.Eventually(ended, 5*time.Second).Should(gomega.Receive(gomega.Succeed()))
}
