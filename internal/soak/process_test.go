package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is an entry node that runs as an operating system process.
type process struct {
	// dir is the directory of the settings file and the log file.
	name, dir string
	// callers, readiness, operators and peers are the addresses of the node's listeners.
	callers, readiness, operators, peers string
	// storeProxy carries the node's connections to the platform's stand-in.
	storeProxy *proxy
	cmd        *exec.Cmd
	client     *http.Client
}

// Listeners use ports below the kernel's range for outgoing connections, so that no
// outgoing connection can occupy the port of a process that is being restarted.
const (
	firstPort = 20_000
	lastPort  = 32_000
	// maxPortTries bounds the search for free ports.
	maxPortTries = 10_000
)

// assignedPorts holds the ports that are assigned to processes of this test run. A
// process binds its ports some time after the check that they are free; until then the
// check would also find them free for another process.
var assignedPorts = map[int]bool{}

// freeAddresses returns loopback addresses whose ports are free and not yet assigned.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < count; tries++ {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if tries > maxPortTries {
			return nil, errors.New("no free port found in maxPortTries tries")
		}
		if assignedPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer l.Close()
		assignedPorts[port] = true
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// newProcess writes the settings of a node that reaches the stand-in at storeAddress
// through a proxy. It doesn't start the process.
func newProcess(dir, name, storeAddress string) (*process, error) {
	p := &process{name: name, dir: dir, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}}
	var err error
	if p.storeProxy, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	p.callers, p.readiness, p.operators, p.peers = addresses[0], addresses[1], addresses[2], addresses[3]
	settings := fmt.Sprintf(`{"node": %q, "zone": "z", "callers": %q, "readiness": %q, "operators": %q, "peers": %q,
  "store": "http://%s", "machines": "http://%s", "lease_most": "6s", "grace": "3s"}`,
		name, p.callers, p.readiness, p.operators, p.peers, p.storeProxy.address(), p.storeProxy.address())
	return p, os.WriteFile(p.settingsPath(), []byte(settings), 0o600)
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.name+".json") }

// start starts the process. Its output is appended to its log file.
func (p *process) start(binary string) error {
	logFile, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(binary, "serve", "--settings", p.settingsPath())
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	return p.cmd.Start()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// terminate sends the signal and waits for the process to exit. It kills the process
// after the timeout.
func (p *process) terminate(s syscall.Signal, timeout time.Duration) {
	p.signal(s)
	killer := time.AfterFunc(timeout, func() { p.signal(syscall.SIGKILL) })
	_ = p.cmd.Wait()
	killer.Stop()
}

func (p *process) ready() bool {
	resp, err := p.client.Get("http://" + p.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logTail returns the last 1500 bytes of the process's log.
func (p *process) logTail() string {
	content, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-1500):])
}
