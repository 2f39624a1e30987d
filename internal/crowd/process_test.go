package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/dev"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/testproc"
	"github.com/sardinehead/sardinehead/platform/standin"
)

const (
	// serveMemoryMiB is the memory limit in the settings of a serve process.
	serveMemoryMiB = 96
	// entryMemoryMiB is the memory that the plan gives an entry process (docs/DEVELOPERS.md).
	entryMemoryMiB = 256
	// maxDescriptors is the descriptor limit of each process. fileDescriptors of them are reserved
	// for files.
	maxDescriptors  = 1024
	fileDescriptors = 200
	// answerTimeout ends a test whose process does not answer.
	answerTimeout = 30 * time.Second
)

// command is a running program of a test.
type command struct{ *exec.Cmd }

// Signal implements testproc.Child.
func (c command) Signal(s os.Signal) error { return c.Process.Signal(s) }

// process is a process of the program under a crowd.
type process struct {
	*testproc.Process
	t         *testing.T
	pid       int
	memoryMiB int
	// callers, peers, operators and readiness are the addresses of its listeners.
	callers, peers, operators, readiness string
	// ordinary returns an ordinary request to the process.
	ordinary func() *http.Request

	// endSampling ends the samples of the descriptors.
	endSampling func()
	maxSockets  int
}

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sardinehead-crowd")
	if err == nil {
		binary = filepath.Join(dir, "sardinehead")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, "../../cmd/sardinehead").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s", out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// start starts the process with maxDescriptors and samples its descriptors until the test checks it.
func (p *process) start(name string, args ...string) {
	p.t.Helper()
	p.Process = testproc.New(p.t, p.t.TempDir(), name, func(output *os.File) (testproc.Child, error) {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors)
		cmd := exec.Command("/bin/sh", append([]string{"-c", script, binary}, args...)...)
		cmd.Stdout, cmd.Stderr = output, output
		err := cmd.Start()
		if err == nil {
			p.pid = cmd.Process.Pid
		}
		return command{cmd}, err
	})
	if err := p.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// startServe starts a serve process on a site of the platform's stand-in.
func startServe(t *testing.T, site *standin.Site, name string) *process {
	t.Helper()
	addresses := testproc.Addresses(t, 4)
	p := &process{t: t, memoryMiB: serveMemoryMiB, callers: addresses[0], readiness: addresses[1], operators: addresses[2], peers: addresses[3]}
	path := filepath.Join(t.TempDir(), name+".json")
	settings := fmt.Sprintf(`{"node": %q, "zone": "z", "memory_mib": %d, "callers": %q, "readiness": %q, "operators": %q, "peers": %q,
  "store": "http://%s", "machines": "http://%s", "lease_most": "6s", "grace": "3s"}`,
		name, serveMemoryMiB, p.callers, p.readiness, p.operators, p.peers, site.Address, site.Address)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	id := 0
	p.ordinary = func() *http.Request {
		id++
		body := `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":50}]}`
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%s%08x", p.callers, standin.Prefix, "0a0a0a0a", id), strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = standin.Host
		r.Header.Set("Api-Key", standin.Key)
		return r
	}
	p.start(name, "serve", "--settings", path)
	p.waitReady("http://" + p.readiness + "/readiness")
	return p
}

// newSite starts the platform's stand-in.
func newSite(t *testing.T) *standin.Site {
	t.Helper()
	site, err := standin.NewSite(3, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Stop)
	return site
}

// entryTeam sends the ordinary requests to an entry process, entryQueue is its queue.
const (
	entryTeam  = "nyota"
	entryQueue = "orders"
)

// startEntry starts an entry process on an installation of stand-ins. It returns the Authorization
// header of a team.
func startEntry(t *testing.T) (*process, string) {
	t.Helper()
	fleet, err := spec.Load("../../examples/duka-jaza")
	if err != nil {
		t.Fatal(err)
	}
	installation, err := dev.Start(dev.Options{Fleet: fleet, LogOutput: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(installation.Close)
	addresses, dir := testproc.Addresses(t, 3), t.TempDir()
	p := &process{t: t, memoryMiB: entryMemoryMiB, callers: addresses[0], peers: addresses[1], operators: addresses[2]}
	settings := fmt.Sprintf(`{"node": "entry-1", "region": "nakuru", "zone": "nakuru-a",
  "callers": {"address": %q, "plain": true}, "peers": {"address": %q, "plain": true}, "operators": {"address": %q, "plain": true},
  "platform": {"log": %q, "vm_list": %q}, "first_peers": [], "peer_secret_file": "secret",
  "times": {"balancer": "1s", "stop": "30s"}}`, p.callers, p.peers, p.operators, installation.PlatformURL, installation.PlatformURL)
	for name, content := range map[string]string{"settings.json": settings, "secret": strings.Repeat("s", 32)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	key := "Bearer " + installation.Keys[entryTeam]
	p.ordinary = func() *http.Request {
		r, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/v1/"+entryQueue+"/orders", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", key)
		return r
	}
	p.start("entry", "entry", "--settings", filepath.Join(dir, "settings.json"))
	p.waitReady("http://" + p.operators + "/readyz")
	return p, key
}

// waitReady waits until the process is ready and answers an ordinary request with success, and begins
// the samples of its descriptors.
func (p *process) waitReady(url string) {
	p.t.Helper()
	g := gomega.NewWithT(p.t)
	g.Eventually(func() int {
		p.CheckRunning(p.t)
		r, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return 0
		}
		return status(r)
	}, answerTimeout, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	p.expectServed("before the crowd")
	ctx, cancel := context.WithCancel(context.Background())
	var sampler sync.WaitGroup
	p.endSampling = func() { cancel(); sampler.Wait() }
	p.t.Cleanup(p.endSampling)
	sampler.Go(func() {
		for ctx.Err() == nil {
			p.maxSockets = max(p.maxSockets, p.openSockets())
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// status sends a request on a connection of its own and returns the status of the response, or 0.
func status(r *http.Request) int {
	client := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// expectServed expects that the process serves an ordinary request; callers repeat a refused one.
func (p *process) expectServed(when string) {
	p.t.Helper()
	gomega.NewWithT(p.t).Eventually(func() int {
		p.CheckRunning(p.t)
		return status(p.ordinary())
	}, answerTimeout, 100*time.Millisecond).Should(gomega.Equal(http.StatusOK), "an ordinary request "+when)
}

// expectWithinLimits expects that the process lives, and that its memory and sockets have stayed within
// their limits since its start.
func (p *process) expectWithinLimits() {
	p.t.Helper()
	p.CheckRunning(p.t)
	p.endSampling()
	peakMiB := p.peakKiB() >> 10
	p.t.Logf("peak of resident memory %d MiB of %d, %d sockets of %d", peakMiB, p.memoryMiB, p.maxSockets, maxDescriptors-fileDescriptors)
	g := gomega.NewWithT(p.t)
	if peakMiB > p.memoryMiB {
		p.t.Errorf("the peak of resident memory is %d MiB, the machine has %d", peakMiB, p.memoryMiB)
	}
	g.Expect(p.maxSockets).To(gomega.BeNumerically("<=", maxDescriptors-fileDescriptors), "open sockets")
}

// peakKiB returns the peak of the process's resident memory.
func (p *process) peakKiB() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		p.t.Fatal("the status of the process has no VmHWM")
	}
	value, err := strconv.Atoi(fields[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return value
}

// openSockets returns the number of the process's open sockets, 0 if it has ended.
func (p *process) openSockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", p.pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	count := 0
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// dial connects to an address. A refused connection returns nil.
func dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	return conn
}
