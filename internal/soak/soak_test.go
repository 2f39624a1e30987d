// Package soak plays random faults against real processes on one machine. The
// processes speak with a stand-in of the platform through proxies.
package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/platform/standin"
)

var (
	seeds    = flag.Int("soak-seeds", 1, "random series of faults to play")
	firstOne = flag.Uint64("soak-seed", 1, "seed of the first series")
	length   = flag.Duration("soak-for", 6*time.Second, "length of one series")
	nodes    = flag.Int("soak-nodes", 3, "entry processes")
	keep     = flag.String("soak-keep", "", "folder to keep the logs of failed series in")
)

// regressions are the seeds that ever failed, each with its cause.
var regressions = []uint64{
	// 101: a later life of a worker forgot ends that nobody had read, because a
	// look repeated the number that its predecessor had been told.
	101,
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak takes longer than a short run may")
	}
	binary := filepath.Join(t.TempDir(), "sardinehead")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/sardinehead")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	list := slices.Clone(regressions)
	for i := range uint64(*seeds) {
		list = append(list, *firstOne+i)
	}
	for _, seed := range list {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { play(t, binary, seed) })
	}
}

// soak is one series of faults.
type soak struct {
	t      *testing.T
	binary string
	rng    *rand.Rand
	site   *standin.Site
	procs  []*process

	mu       sync.Mutex
	accepted map[string]time.Time
	refused  map[string]bool // by every attempt so far
	faults   []string
}

func play(t *testing.T, binary string, seed uint64) {
	dir := t.TempDir()
	site, err := standin.NewSite(5, 250*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Stop)
	s := &soak{
		t: t, binary: binary, rng: rand.New(rand.NewPCG(seed, 3)), site: site,
		accepted: map[string]time.Time{}, refused: map[string]bool{},
	}
	for i := range *nodes {
		p, err := newProcess(dir, fmt.Sprintf("n%d", i+1), site.Address)
		if err == nil {
			err = p.start(binary)
		}
		if err != nil {
			t.Fatal(err)
		}
		s.procs = append(s.procs, p)
	}
	t.Cleanup(func() {
		for _, p := range s.procs {
			p.signal(syscall.SIGCONT)
			p.end(syscall.SIGKILL, time.Second)
		}
		if t.Failed() && *keep != "" {
			_ = os.CopyFS(filepath.Join(*keep, strconv.FormatUint(seed, 10)), os.DirFS(dir))
		}
	})
	t.Cleanup(func() {
		for _, p := range s.procs {
			if t.Failed() {
				t.Logf("last lines of %s:\n%s", p.name, p.lastLines())
			}
		}
	})
	s.until("all processes are ready", 15*time.Second, func() bool { return s.countReady() == len(s.procs) })
	var work sync.WaitGroup
	end := time.Now().Add(*length)
	work.Go(func() { s.submitUntil(end) })
	s.trouble(end)
	work.Wait()
	s.heal()
	s.until("every accepted job is completed everywhere", 60*time.Second, s.allCompleted)
	s.check()
	t.Logf("seed %d: %d jobs accepted, faults: %s", seed, len(s.accepted), strings.Join(s.faults, ", "))
}

func (s *soak) until(what string, wait time.Duration, done func() bool) {
	deadline := time.Now().Add(wait)
	for !done() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s; faults: %s", wait, what, strings.Join(s.faults, ", "))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *soak) countReady() int {
	n := 0
	for _, p := range s.procs {
		if p.ready() {
			n++
		}
	}
	return n
}

const body = `{"spec":"x","steps":[{"count":3,"cpu":500,"mem_mb":64,"estimate_ms":250},` +
	`{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":250,"depends_on":[0]}]}`

// submitUntil hands jobs in. Each is tried at random processes, over open
// connections, until it is accepted or refused.
func (s *soak) submitUntil(end time.Time) {
	rng := rand.New(rand.NewPCG(7, uint64(end.UnixNano())))
	var work sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%016x", i+1)
		first := rng.IntN(len(s.procs))
		work.Go(func() { s.submit(id, first) })
		time.Sleep(60 * time.Millisecond)
	}
	work.Wait()
}

func (s *soak) submit(id string, first int) {
	sent := false
	for try := range 6 {
		status := s.call(s.procs[(first+try)%len(s.procs)], http.MethodPost, id, nil)
		switch {
		case status == http.StatusOK:
			s.mu.Lock()
			s.accepted[id] = time.Now()
			s.mu.Unlock()
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		default:
			sent = true
		}
	}
	if !sent {
		s.mu.Lock()
		s.refused[id] = true
		s.mu.Unlock()
	}
}

// call sends one request and returns its status, or 0 without an answer.
func (s *soak) call(p *process, method, id string, into any) int {
	var content *strings.Reader
	if method == http.MethodPost {
		content = strings.NewReader(body)
	} else {
		content = strings.NewReader("")
	}
	req, err := http.NewRequest(method, "http://"+p.callers+standin.Prefix+id, content)
	if err != nil {
		s.t.Error(err)
		return 0
	}
	req.Host = standin.Host
	req.Header.Set("Api-Key", standin.Key)
	resp, err := p.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if into != nil && json.NewDecoder(resp.Body).Decode(into) != nil {
		return 0
	}
	return resp.StatusCode
}

// trouble strikes in series that overlap.
func (s *soak) trouble(end time.Time) {
	for time.Now().Before(end) {
		s.strike()
		time.Sleep(time.Duration(200+s.rng.IntN(900)) * time.Millisecond)
	}
}

func (s *soak) strike() {
	p := s.procs[s.rng.IntN(len(s.procs))]
	w := s.site.Workers[s.rng.IntN(len(s.site.Workers))]
	wait := time.Duration(500+s.rng.IntN(3500)) * time.Millisecond
	later := func(do func()) { time.AfterFunc(wait, do) }
	name := ""
	switch s.rng.IntN(11) {
	case 0:
		name = "pause " + p.name
		p.signal(syscall.SIGSTOP)
		later(func() { p.signal(syscall.SIGCONT) })
	case 1:
		name = "kill " + p.name
		s.restart(p, syscall.SIGKILL)
	case 2:
		name = "stop " + p.name
		s.restart(p, syscall.SIGTERM)
	case 3:
		name = "reset " + p.name
		p.store.resetAll()
	case 4:
		name = "mute " + p.name
		p.store.mute.Store(true)
		later(p.store.heal)
	case 5:
		name = "deaf " + p.name
		p.store.deaf.Store(true)
		later(p.store.heal)
	case 6:
		name = "delay " + p.name
		p.store.delay.Store(int64(20 + s.rng.IntN(300)))
		later(p.store.heal)
	case 7:
		name = "refuse"
		s.site.Store.Refuse(http.StatusServiceUnavailable)
		later(func() { s.site.Store.Refuse(0) })
	case 8:
		name = "lose answers"
		s.site.Store.LoseAnswers(1 + s.rng.IntN(4))
	case 9:
		name = "silence " + w.ID
		w.Silence(true)
		later(func() { w.Silence(false) })
	case 10:
		name = "restart " + w.ID
		w.Restart()
	}
	s.faults = append(s.faults, name)
}

func (s *soak) restart(p *process, how syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.end(how, 5*time.Second)
	if err := p.start(s.binary); err != nil {
		s.t.Fatal(err)
	}
}

func (s *soak) heal() {
	s.site.Store.Refuse(0)
	s.site.Store.LoseAnswers(0)
	for _, w := range s.site.Workers {
		w.Silence(false)
	}
	for _, p := range s.procs {
		p.signal(syscall.SIGCONT)
		p.store.heal()
	}
}

func (s *soak) allCompleted() bool {
	for id := range s.accepted {
		for _, p := range s.procs {
			var answer struct {
				State string `json:"state"`
			}
			if s.call(p, http.MethodGet, id, &answer) != http.StatusOK || answer.State != "completed" {
				return false
			}
		}
	}
	return true
}

// check looks at what the workers saw: no task ran twice at a time or again
// after its end was noted, none out of order, and nothing that was refused.
func (s *soak) check() {
	byTask := map[string][]standin.Run{}
	noted := map[string]time.Time{}
	for _, w := range s.site.Workers {
		runs, ends := w.History()
		for _, r := range runs {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
		for task, at := range ends {
			noted[task] = at
		}
	}
	for task, runs := range byTask {
		id, _, _ := strings.Cut(task, ".")
		if s.refused[id] {
			s.t.Errorf("%s ran, but every attempt to hand it in was refused", task)
		}
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.From.Compare(b.From) })
		for i, r := range runs {
			if at, done := noted[task]; done && r.From.After(at) {
				s.t.Errorf("%s run %d began after its end was noted", task, r.Number)
			}
			if i > 0 && (runs[i-1].To.IsZero() || r.From.Before(runs[i-1].To)) {
				s.t.Errorf("%s run %d began on %s while run %d was on %s", task, r.Number, r.Worker, runs[i-1].Number, runs[i-1].Worker)
			}
		}
		s.checkOrder(task, runs, byTask)
	}
}

// checkOrder checks that step 1 began after all tasks of step 0 were done.
func (s *soak) checkOrder(task string, runs []standin.Run, byTask map[string][]standin.Run) {
	id, rest, _ := strings.Cut(task, ".")
	if !strings.HasPrefix(rest, "0.1.") {
		return
	}
	for i := range 3 {
		before := fmt.Sprintf("%s.0.0.%d", id, i)
		if !slices.ContainsFunc(byTask[before], func(r standin.Run) bool { return r.How == "done" && r.To.Before(runs[0].From) }) {
			s.t.Errorf("%s began before %s was done", task, before)
		}
	}
}
