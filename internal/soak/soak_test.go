// Package soak injects random faults into entry nodes that run as operating system
// processes on one machine. The nodes reach a stand-in of the platform through proxies.
package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
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
	seriesCount    = flag.Int("soak-seeds", 1, "number of random series of faults to run")
	firstSeed      = flag.Uint64("soak-seed", 1, "seed of the first series")
	seriesDuration = flag.Duration("soak-for", 6*time.Second, "duration of one series")
	nodeCount      = flag.Int("soak-nodes", 3, "number of entry nodes")
	failedLogsDir  = flag.String("soak-keep", filepath.Join(os.TempDir(), "sardinehead-soak"), "directory that receives the messages and logs of failed series")
)

// regressionSeeds are the seeds that once failed, each with its cause.
var regressionSeeds = []uint64{
	// 101: a restarted worker discarded run ends that no owner had read, because a poll
	// repeated the acknowledged number of the worker's previous incarnation, and later because
	// the first poll of the next incarnation had such a number and waited until runs had ended.
	101,
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped in short mode: runs for several seconds")
	}
	binary := buildBinary(t)
	seeds := slices.Clone(regressionSeeds)
	for i := range uint64(*seriesCount) {
		seeds = append(seeds, *firstSeed+i)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeries(t, binary, seed) })
	}
}

// series is one series of faults, with the jobs that are submitted during it.
type series struct {
	t *testing.T
	// dir holds the logs of the processes and the messages of failures.
	dir       string
	rng       *rand.Rand
	site      *standin.Site
	processes []*process

	mu sync.Mutex
	// accepted holds the time at which each job was accepted, refused the jobs for which
	// every attempt to submit them was refused.
	accepted map[string]time.Time
	refused  map[string]bool
	// crashing holds the jobs with a task that crashes its workers.
	crashing map[string]bool
	// advised holds the jobs of the queue with an advisor, hopeless those of them that no worker may run.
	advised, hopeless map[string]bool
	faults            []string // injected so far
}

func runSeries(t *testing.T, binary string, seed uint64) {
	dir := t.TempDir()
	site, err := standin.NewSite(5, 250*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Stop)
	s := &series{
		t: t, dir: dir, rng: rand.New(rand.NewPCG(seed, 3)), site: site,
		accepted: map[string]time.Time{}, refused: map[string]bool{}, crashing: map[string]bool{},
		advised: map[string]bool{}, hopeless: map[string]bool{},
	}
	t.Cleanup(func() {
		if t.Failed() {
			kept := filepath.Join(*failedLogsDir, fmt.Sprintf("%d-%d", seed, time.Now().UnixNano()))
			t.Logf("messages and logs are kept in %s (copying: %v)", kept, os.CopyFS(kept, os.DirFS(dir)))
		}
	})
	for i := range *nodeCount {
		p, err := newProcess(t, dir, binary, fmt.Sprintf("n%d", i+1), site.Address)
		if err == nil {
			err = p.Start()
		}
		if err != nil {
			s.fatalf("starting a process: %v", err)
		}
		s.processes = append(s.processes, p)
	}
	s.waitFor("all processes are ready", 15*time.Second, func() bool { return s.countReady() == len(s.processes) })
	var submitter sync.WaitGroup
	end := time.Now().Add(*seriesDuration)
	submitter.Go(func() { s.submitUntil(end) })
	submitter.Go(func() { s.shrinkWorkersUntil(end, rand.New(rand.NewPCG(seed, 11))) })
	submitter.Go(func() { s.silenceAdvisorUntil(end, rand.New(rand.NewPCG(seed, 13))) })
	s.injectFaultsUntil(end)
	submitter.Wait()
	s.clearFaults()
	s.waitFor("every node reports every accepted job as finished", 60*time.Second, s.allFinished)
	s.waitFor("the steps that no worker may run ask no more", 20*time.Second, s.advisorIdleFor(2*time.Second))
	s.checkRuns()
	t.Logf("seed %d: %d jobs accepted, %d of them with an advisor, faults: %s", seed, len(s.accepted), s.acceptedAdvised(), strings.Join(s.faults, ", "))
}

// errorf fails the test and also writes the message beside the logs, because the output of
// a test run is easily lost.
func (s *series) errorf(format string, args ...any) {
	s.t.Helper()
	message := fmt.Sprintf(format, args...) + "; faults: " + strings.Join(s.faults, ", ")
	s.t.Error(message)
	file, err := os.OpenFile(filepath.Join(s.dir, "failures.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer file.Close()
	if _, err := fmt.Fprintln(file, message); err != nil {
		s.t.Error(err)
	}
}

// fatalf is errorf, and ends the test.
func (s *series) fatalf(format string, args ...any) {
	s.t.Helper()
	s.errorf(format, args...)
	s.t.FailNow()
}

// checkProcesses fails the test if a process has ended unasked.
func (s *series) checkProcesses() {
	for _, p := range s.processes {
		if err := p.EndedUnasked(); err != nil {
			s.fatalf("%s has ended unasked: %v", p.name, err)
		}
	}
}

// waitFor polls a condition and fails the test after the timeout.
func (s *series) waitFor(condition string, timeout time.Duration, met func() bool) {
	deadline := time.Now().Add(timeout)
	for !met() {
		s.checkProcesses()
		if time.Now().After(deadline) {
			s.fatalf("not within %v: %s", timeout, condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *series) countReady() int {
	n := 0
	for _, p := range s.processes {
		if p.ready() {
			n++
		}
	}
	return n
}

// jobBody is a job of two steps with a payload; the second depends on the first. Each task needs
// taskCPU thousandths of a core.
const (
	taskCPU = 500
	jobBody = `{"spec":"%s","steps":[{"count":3,"cpu":500,"mem_mb":64,"estimate_ms":250},` +
		`{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":250,"depends_on":[0]}]}`
)

// submitUntil submits jobs until the time end, and waits until each one is accepted or its
// attempts are used up.
func (s *series) submitUntil(end time.Time) {
	rng := rand.New(rand.NewPCG(7, uint64(end.UnixNano())))
	var submitters sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%016x", i+1)
		s.mu.Lock()
		s.crashing[id] = rng.IntN(30) == 0
		s.advised[id] = rng.IntN(4) == 0
		s.hopeless[id] = s.advised[id] && rng.IntN(5) == 0
		if s.hopeless[id] {
			s.site.Advisor.RefuseJob(id)
		}
		s.mu.Unlock()
		first := rng.IntN(len(s.processes))
		submitters.Go(func() { s.submit(id, first) })
		time.Sleep(60 * time.Millisecond)
	}
	submitters.Wait()
}

// submit tries the processes in turn, starting with the first one given, until one
// accepts the job.
func (s *series) submit(id string, first int) {
	mayBeAccepted := false
	for attempt := range 6 {
		status := s.call(s.processes[(first+attempt)%len(s.processes)], http.MethodPost, id, nil)
		switch {
		case status == http.StatusOK:
			s.mu.Lock()
			s.accepted[id] = time.Now()
			s.mu.Unlock()
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		default:
			mayBeAccepted = true
		}
	}
	if !mayBeAccepted {
		s.mu.Lock()
		s.refused[id] = true
		s.mu.Unlock()
	}
}

// payload is the payload of a job, which tells the workers how its tasks behave.
func (s *series) payload(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	words := []string{"x"}
	if s.crashing[id] {
		words = append(words, standin.CrashSpec)
	}
	if s.advised[id] {
		words = append(words, standin.AdvisedSpec)
	}
	return strings.Join(words, " ")
}

// path is the path of a job.
func (s *series) path(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.advised[id] {
		return standin.AdvisedPrefix + id
	}
	return standin.Prefix + id
}

// acceptedAdvised is the number of accepted jobs of the queue with an advisor.
func (s *series) acceptedAdvised() int {
	n := 0
	for id := range s.accepted {
		if s.advised[id] {
			n++
		}
	}
	return n
}

// call sends a request to the job API and returns the status code, or 0 without a
// complete response.
func (s *series) call(p *process, method, id string, result any) int {
	var content *strings.Reader
	if method == http.MethodPost {
		content = strings.NewReader(fmt.Sprintf(jobBody, s.payload(id)))
	} else {
		content = strings.NewReader("")
	}
	req, err := http.NewRequest(method, "http://"+p.callers+s.path(id), content)
	if err != nil {
		s.errorf("a request to %s: %v", p.name, err)
		return 0
	}
	req.Host = standin.Host
	req.Header.Set("Api-Key", standin.Key)
	resp, err := p.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if result != nil && json.NewDecoder(resp.Body).Decode(result) != nil {
		return 0
	}
	return resp.StatusCode
}

// injectFaultsUntil injects faults until the time end. Faults may overlap.
func (s *series) injectFaultsUntil(end time.Time) {
	for time.Now().Before(end) {
		s.checkProcesses()
		s.injectFault()
		time.Sleep(time.Duration(200+s.rng.IntN(900)) * time.Millisecond)
	}
}

// injectFault injects a random fault; those that don't end at once end after 0.5 s to 4 s.
func (s *series) injectFault() {
	p := s.processes[s.rng.IntN(len(s.processes))]
	w := s.site.Workers[s.rng.IntN(len(s.site.Workers))]
	duration := time.Duration(500+s.rng.IntN(3500)) * time.Millisecond
	atEnd := func(clear func()) { time.AfterFunc(duration, clear) }
	name := ""
	switch s.rng.IntN(11) {
	case 0:
		name = "pause " + p.name
		p.Signal(syscall.SIGSTOP)
		atEnd(func() { p.Signal(syscall.SIGCONT) })
	case 1:
		name = "kill " + p.name
		s.restart(p, syscall.SIGKILL)
	case 2:
		name = "stop " + p.name
		s.restart(p, syscall.SIGTERM)
	case 3:
		name = "reset connections of " + p.name
		p.storeProxy.resetAll()
	case 4:
		name = "drop requests of " + p.name
		p.storeProxy.dropRequests.Store(true)
		atEnd(p.storeProxy.clearFaults)
	case 5:
		name = "drop responses to " + p.name
		p.storeProxy.dropResponses.Store(true)
		atEnd(p.storeProxy.clearFaults)
	case 6:
		name = "delay " + p.name
		p.storeProxy.delayMS.Store(int64(20 + s.rng.IntN(300)))
		atEnd(p.storeProxy.clearFaults)
	case 7:
		name = "store refuses calls"
		s.site.Store.Refuse(http.StatusServiceUnavailable)
		atEnd(func() { s.site.Store.Refuse(0) })
	case 8:
		name = "store drops responses"
		s.site.Store.DropResponses(1 + s.rng.IntN(4))
	case 9:
		name = "silence " + w.ID
		w.SetSilent(true)
		atEnd(func() { w.SetSilent(false) })
	case 10:
		name = "restart " + w.ID
		w.Restart()
	}
	s.faults = append(s.faults, name)
}

// shrinkWorkersUntil lets workers have room for a few tasks only, for 1 s to 6 s each.
func (s *series) shrinkWorkersUntil(end time.Time, rng *rand.Rand) {
	for time.Now().Before(end) {
		w := s.site.Workers[rng.IntN(len(s.site.Workers))]
		w.SetCPU(taskCPU * (1 + rng.IntN(3)))
		time.AfterFunc(time.Second+time.Duration(rng.IntN(5000))*time.Millisecond, func() { w.SetCPU(0) })
		time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
	}
}

// silenceAdvisorUntil lets the advisor answer no requests for 0.2 s to 2 s at a time.
func (s *series) silenceAdvisorUntil(end time.Time, rng *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
		s.site.Advisor.SetSilent(true)
		time.Sleep(time.Duration(200+rng.IntN(1800)) * time.Millisecond)
		s.site.Advisor.SetSilent(false)
	}
}

// restart ends a process by a signal and starts it again.
func (s *series) restart(p *process, sig syscall.Signal) {
	p.Signal(syscall.SIGCONT)
	// A process that is stopped may also be killed after the timeout: that is a fault too.
	_ = p.End(sig, 5*time.Second)
	if err := p.Start(); err != nil {
		s.fatalf("restarting %s: %v", p.name, err)
	}
}

// clearFaults clears all faults that last and resumes suspended processes.
func (s *series) clearFaults() {
	s.site.Store.Refuse(0)
	s.site.Store.DropResponses(0)
	for _, w := range s.site.Workers {
		w.SetSilent(false)
		w.SetCPU(0)
	}
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
		p.storeProxy.clearFaults()
	}
}

// allFinished reports whether every node reports every accepted job as completed, or as failed if
// one of its tasks may be given up. Jobs that no worker may run wait.
func (s *series) allFinished() bool {
	mayFail := s.mayFail()
	for id := range s.accepted {
		if s.hopeless[id] {
			continue
		}
		for _, p := range s.processes {
			var job struct {
				State string `json:"state"`
			}
			if s.call(p, http.MethodGet, id, &job) != http.StatusOK || job.State != "completed" && (job.State != "failed" || !mayFail[id]) ||
				job.State == "completed" && s.crashing[id] {
				return false
			}
		}
	}
	return true
}

// advisorIdleFor returns a condition that is met once the advisor has had no request for a while.
func (s *series) advisorIdleFor(quiet time.Duration) func() bool {
	requests, since := -1, time.Now()
	return func() bool {
		total := 0
		for _, n := range s.site.Advisor.Requests() {
			total += n
		}
		if total != requests {
			requests, since = total, time.Now()
		}
		return time.Since(since) > quiet
	}
}

const (
	// maxCrashStarts is the number of starts of a task that crashes its workers: it is not to be
	// started three times more after three crashes.
	maxCrashStarts = 5
	// shrinkNotice is the time after which a worker's smaller capacity counts.
	shrinkNotice = 3300 * time.Millisecond
)

// mayFail returns the jobs with a task under which two workers have crashed or been restarted.
func (s *series) mayFail() map[string]bool {
	ended := map[string]int{}
	mayFail := map[string]bool{}
	for _, w := range s.site.Workers {
		runs, _ := w.History()
		for _, r := range runs {
			if r.End != "" || r.EndedAt.IsZero() {
				continue
			}
			if ended[r.Task]++; ended[r.Task] >= 2 {
				id, _, _ := strings.Cut(r.Task, ".")
				mayFail[id] = true
			}
		}
	}
	return mayFail
}

// checkCapacity checks that no start brought a worker over its capacity.
func (s *series) checkCapacity(w *standin.Worker, runs []standin.Run) {
	changes := w.CPUHistory()
	for _, r := range runs {
		largest := 0
		for i, c := range changes {
			if !c.At.After(r.StartedAt) && (i+1 == len(changes) || changes[i+1].At.After(r.StartedAt.Add(-shrinkNotice))) {
				largest = max(largest, c.CPU)
			}
		}
		used := 0
		for _, other := range runs {
			if !other.StartedAt.After(r.StartedAt) && (other.EndedAt.IsZero() || other.EndedAt.After(r.StartedAt)) {
				used += taskCPU
			}
		}
		if largest > 0 && changes[0].At.Before(r.StartedAt.Add(-shrinkNotice)) && used > largest {
			s.errorf("task %s: its start brings %s to %d of %d thousandths of a core", r.Task, w.ID, used, largest)
		}
	}
}

// checkRuns checks the runs that the workers recorded: runs of a task don't overlap, none
// starts after an owner acknowledged the task's completion, steps run in order, and no task of
// a refused job ran.
func (s *series) checkRuns() {
	runsByTask := map[string][]standin.Run{}
	acknowledged := map[string]time.Time{}
	for _, w := range s.site.Workers {
		runs, acknowledgedByWorker := w.History()
		s.checkCapacity(w, runs)
		for _, r := range runs {
			runsByTask[r.Task] = append(runsByTask[r.Task], r)
		}
		for task, at := range acknowledgedByWorker {
			if first, known := acknowledged[task]; !known || at.Before(first) {
				acknowledged[task] = at
			}
		}
	}
	for task, runs := range runsByTask {
		id, _, _ := strings.Cut(task, ".")
		if s.refused[id] {
			s.errorf("task %s ran, but every attempt to submit its job was refused", task)
		}
		if s.hopeless[id] {
			s.errorf("task %s ran, but its advisor allows no worker", task)
		}
		if s.crashing[id] && strings.HasSuffix(task, ".0.0.0") && len(runs) > maxCrashStarts {
			s.errorf("task %s crashes its workers and was started %d times", task, len(runs))
		}
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.StartedAt.Compare(b.StartedAt) })
		for i, r := range runs {
			if at, known := acknowledged[task]; known && r.StartedAt.After(at) {
				s.errorf("task %s: run %d started after the task's completion was acknowledged", task, r.Number)
			}
			if i > 0 && (runs[i-1].EndedAt.IsZero() || r.StartedAt.Before(runs[i-1].EndedAt)) {
				s.errorf("task %s: run %d started on %s while run %d was on %s", task, r.Number, r.Worker, runs[i-1].Number, runs[i-1].Worker)
			}
		}
		s.checkOrder(task, runs, runsByTask)
	}
}

// checkOrder checks that a task of step 1 started after all tasks of step 0 had completed.
func (s *series) checkOrder(task string, runs []standin.Run, runsByTask map[string][]standin.Run) {
	id, position, _ := strings.Cut(task, ".")
	if !strings.HasPrefix(position, "0.1.") {
		return
	}
	for i := range 3 {
		prerequisite := fmt.Sprintf("%s.0.0.%d", id, i)
		if !slices.ContainsFunc(runsByTask[prerequisite], func(r standin.Run) bool { return r.End == "done" && r.EndedAt.Before(runs[0].StartedAt) }) {
			s.errorf("task %s started before task %s had completed", task, prerequisite)
		}
	}
}
