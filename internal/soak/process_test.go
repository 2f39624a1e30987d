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

// process is one entry node, run as a real process.
type process struct {
	name, dir                            string
	callers, readiness, operators, peers string
	store                                *proxy
	cmd                                  *exec.Cmd
	client                               *http.Client
}

// Ports below those that the kernel gives to outgoing connections, so that none
// of these takes a process's port while it is restarted.
const (
	firstPort = 20_000
	lastPort  = 32_000
	// mostTries bounds the search for a free port.
	mostTries = 10_000
)

// given holds the ports that were given to a process of this run. A process binds its
// ports some time after they were found free; until then they look free to the next one.
var given = map[int]bool{}

// freeAddresses returns addresses that are free now and were not given before.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < count; tries++ {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if tries > mostTries {
			return nil, errors.New("no free port is left")
		}
		if given[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer l.Close()
		given[port] = true
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func newProcess(dir, name, store string) (*process, error) {
	p := &process{name: name, dir: dir, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}}
	var err error
	if p.store, err = newProxy(store); err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	p.callers, p.readiness, p.operators, p.peers = addresses[0], addresses[1], addresses[2], addresses[3]
	settings := fmt.Sprintf(`{"node": %q, "zone": "z", "callers": %q, "readiness": %q, "operators": %q, "peers": %q,
  "store": "http://%s", "machines": "http://%s", "lease_most": "6s", "grace": "3s"}`,
		name, p.callers, p.readiness, p.operators, p.peers, p.store.address(), p.store.address())
	return p, os.WriteFile(p.settings(), []byte(settings), 0o600)
}

func (p *process) settings() string { return filepath.Join(p.dir, p.name+".json") }

// start starts the process; its lines are added to its log file.
func (p *process) start(binary string) error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(binary, "serve", "--settings", p.settings())
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return p.cmd.Start()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// end ends the process by a signal and waits for it, at most for a time.
func (p *process) end(s syscall.Signal, wait time.Duration) {
	p.signal(s)
	killer := time.AfterFunc(wait, func() { p.signal(syscall.SIGKILL) })
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

// lastLines returns the end of the process's log.
func (p *process) lastLines() string {
	content, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-1500):])
}
