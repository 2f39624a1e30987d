package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
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

// command is a running program of a test.
type command struct{ *exec.Cmd }

// Signal implements testproc.Child.
func (c command) Signal(s os.Signal) error { return c.Process.Signal(s) }

// run returns a starter of a program.
func run(path string, args ...string) testproc.Starter {
	return func(output *os.File) (testproc.Child, error) {
		cmd := exec.Command(path, args...)
		cmd.Stdout, cmd.Stderr = output, output
		return command{cmd}, cmd.Start()
	}
}

// buildBinary builds the sardinehead binary and returns its path.
func buildBinary(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "sardinehead")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/sardinehead").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// newProcess writes the settings of a node that reaches the stand-in at storeAddress
// through a proxy. It doesn't start the process.
func newProcess(t *testing.T, dir, binary, name, storeAddress string) (*process, error) {
	settingsPath := filepath.Join(dir, name+".json")
	p := &process{
		Process: testproc.New(t, dir, name, run(binary, "serve", "--settings", settingsPath)),
		name:    name, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}},
	}
	var err error
	if p.storeProxy, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	addresses := testproc.Addresses(t, 4)
	p.callers, p.readiness, p.operators, p.peers = addresses[0], addresses[1], addresses[2], addresses[3]
	settings := fmt.Sprintf(`{"node": %q, "zone": "z", "callers": %q, "readiness": %q, "operators": %q, "peers": %q,
  "store": "http://%s", "machines": "http://%s", "advisor": "http://%s", "lease_most": "6s", "grace": "3s"}`,
		name, p.callers, p.readiness, p.operators, p.peers, p.storeProxy.address(), p.storeProxy.address(), p.storeProxy.address())
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
