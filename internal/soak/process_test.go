package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/internal/testproc"
)

// process is an entry node that runs as an operating system process.
type process struct {
	*testproc.Process
	name string
	// callers, readiness, operators and peers are the addresses of the node's listeners.
	callers, readiness, operators, peers string
	// storeProxy carries the node's connections to the platform's stand-in.
	storeProxy *proxy
	client     *http.Client
}

// newProcess writes the settings of a node that reaches the stand-in at storeAddress
// through a proxy. It doesn't start the process.
func newProcess(t *testing.T, dir, binary, name, storeAddress string) (*process, error) {
	settingsPath := filepath.Join(dir, name+".json")
	p := &process{
		Process: testproc.New(t, dir, name, binary, "serve", "--settings", settingsPath),
		name:    name, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}},
	}
	var err error
	if p.storeProxy, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	addresses := testproc.Addresses(t, 4)
	p.callers, p.readiness, p.operators, p.peers = addresses[0], addresses[1], addresses[2], addresses[3]
	settings := fmt.Sprintf(`{"node": %q, "zone": "z", "callers": %q, "readiness": %q, "operators": %q, "peers": %q,
  "store": "http://%s", "machines": "http://%s", "lease_most": "6s", "grace": "3s"}`,
		name, p.callers, p.readiness, p.operators, p.peers, p.storeProxy.address(), p.storeProxy.address())
	return p, os.WriteFile(settingsPath, []byte(settings), 0o600)
}

func (p *process) ready() bool {
	resp, err := p.client.Get("http://" + p.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
