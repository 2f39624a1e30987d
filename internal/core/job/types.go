// Package job implements the state machine for jobs: acceptance, election of the
// owner of the workers through the job stream, scheduling of tasks, cancellation and
// recovery.
//
// A job is a set of steps, a step a number of identical tasks. State.Step processes
// an event and returns effects as data. It does no I/O, reads no clock and starts no
// goroutine, so the same events always produce the same effects.
package job

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ID identifies a job. The caller chooses it: 16 hexadecimal digits.
type ID string

// valid reports whether the ID is 16 hexadecimal digits.
func (id ID) valid() bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

const idLength = 16

// WorkerID identifies a worker. It stays the same when the worker restarts in place.
type WorkerID string

// MachineID identifies the machine that a worker runs on.
type MachineID string

// Run is the number of an attempt to run a task. It increases with each attempt and
// is never reused.
type Run uint64

// Millis is a wall-clock time in milliseconds since 1970.
type Millis int64

// Fence is the fencing token of an owner of the workers, derived from the stream
// offset of its claim. Workers refuse orders with a lower fence than the highest
// that they have seen.
type Fence uint64

// Resources is the demand of a task or the capacity of a worker.
type Resources struct {
	// CPU is in millicores.
	CPU int64 `json:"c,omitempty"`
	// Memory is in MiB.
	Memory int64 `json:"m,omitempty"`
	// GPU is a number of accelerators.
	GPU int64 `json:"g,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources { return Resources{r.CPU * n, r.Memory * n, r.GPU * n} }

// Count is how often it holds the other resources, at most limit.
func (r Resources) Count(o Resources, limit int) int {
	for _, d := range [...]struct{ have, need int64 }{{r.CPU, o.CPU}, {r.Memory, o.Memory}, {r.GPU, o.GPU}} {
		switch {
		case d.have < 0:
			return 0
		case d.need > 0:
			limit = int(min(int64(limit), d.have/d.need))
		}
	}
	return limit
}

// Holds reports whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.GPU <= r.GPU
}

// Step is a set of identical tasks.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// EstimateMS is the run time of one task as estimated by the caller, in
	// milliseconds.
	EstimateMS int64 `json:"e,omitempty"`
	// After lists the indexes of the steps that must complete before this one.
	After []int `json:"a,omitempty"`
	// Checkpoints is set if a run can resume from the task's last checkpoint.
	Checkpoints bool `json:"k,omitempty"`
	// Gang is set if all tasks must run at the same time.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if the tasks run faster on workers of one rack.
	SameRack bool `json:"rack,omitempty"`
	// Label, if set, is a label that a worker must have to run the tasks.
	Label string `json:"label,omitempty"`
	// DataRack, if set, is the rack that stores the input data.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker, if set, is the maximum number of the step's tasks on one worker.
	MaxPerWorker int `json:"spread,omitempty"`
	// Speculative is set if several copies of a task may run at the same time.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `json:"long,omitempty"`
	// Image is the name of the program; tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// TailTargetMS is the target for the tail latency of a latency-sensitive task, in
	// milliseconds.
	TailTargetMS int64 `json:"tail,omitempty"`
	// BestEffort is set if the tasks are best-effort: they use only CPU time that other
	// tasks leave idle.
	BestEffort bool `json:"fill,omitempty"`
	// MaxUnavailable is the maximum number of tasks that may be unavailable at the same time
	// because of moves and maintenance of machines.
	MaxUnavailable int `json:"miss,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its worker. A
// best-effort task reserves no CPU.
func (s *Step) Reserved() Resources {
	if s.BestEffort {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// Spec is a job as submitted by a caller.
type Spec struct {
	// Payload is passed to the workers uninterpreted.
	Payload string `json:"p,omitempty"`
	Steps   []Step `json:"s"`
	// Occurrences, if set, is the number of times that the steps run: occurrence k
	// starts at FirstAt + k*IntervalMS.
	Occurrences int    `json:"times,omitempty"`
	FirstAt     Millis `json:"first,omitempty"`
	IntervalMS  int64  `json:"every,omitempty"`
}

// Queue is an endpoint that accepts jobs for a pool.
type Queue struct {
	Name vocab.QueueID
	// Host and Prefix are matched against the host and path of a request.
	Host, Prefix string
	Pool         vocab.PoolID
	// Priority orders the queues; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// The latency objective of a job is Stretch times the run time of its longest
	// chain of steps, plus Latency.
	Stretch float64
	Latency time.Duration
	// Open is set if callers need no key.
	Open bool
	// Advisor is set if an external advisor decides which workers may run a step.
	Advisor *AdvisorTiming
}

// AdvisorTiming is the timing of a queue's advisor: its response takes Decide, plus Each
// per worker named in the request, and the tickets in it are valid for Valid.
type AdvisorTiming struct {
	Decide time.Duration `json:"d,omitempty"`
	Each   time.Duration `json:"e,omitempty"`
	Valid  time.Duration `json:"v,omitempty"`
}

// Pool is a set of interchangeable workers.
type Pool struct {
	Name vocab.PoolID
	// Guarded is set if the workers themselves refuse tasks that don't fit.
	Guarded bool
	// Spare is set for the spare pool, whose machines are powered off.
	Spare bool
}

// Team is a customer. The jobs submitted with its keys count towards its limits.
type Team struct {
	Name   vocab.TeamID
	Keys   []string
	Weight float64
	// Limit bounds the resources of the team's running tasks; a zero field means no
	// limit.
	Limit Resources
}

// Config is the operators' configuration.
type Config struct {
	Version uint64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64

	queues map[vocab.QueueID]*Queue
	pools  map[vocab.PoolID]*Pool
	teams  map[vocab.TeamID]*Team
	keys   map[string]vocab.TeamID
}

// Index builds the lookup maps. It must be called once, before the other methods.
func (c *Config) Index() {
	c.queues = make(map[vocab.QueueID]*Queue, len(c.Queues))
	for i := range c.Queues {
		c.queues[c.Queues[i].Name] = &c.Queues[i]
	}
	c.pools = make(map[vocab.PoolID]*Pool, len(c.Pools))
	for i := range c.Pools {
		c.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	c.teams = make(map[vocab.TeamID]*Team, len(c.Teams))
	c.keys = map[string]vocab.TeamID{}
	for i := range c.Teams {
		c.teams[c.Teams[i].Name] = &c.Teams[i]
		for _, key := range c.Teams[i].Keys {
			c.keys[key] = c.Teams[i].Name
		}
	}
}

// Match returns the queue with the longest prefix of path at host, or nil.
func (c *Config) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// TeamOf returns the team that a key belongs to.
func (c *Config) TeamOf(key string) (vocab.TeamID, bool) {
	team, ok := c.keys[key]
	return team, ok
}

// TaskName identifies a task; its text form is JOB.OCCURRENCE.STEP.INDEX.
type TaskName struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String implements fmt.Stringer.
func (n TaskName) String() string {
	return string(n.Job) + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName parses the text form of a task name.
func ParseTaskName(text string) (TaskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, true
}

// WorkerInfo is a worker's entry in the platform's list of workers.
type WorkerInfo struct {
	ID       WorkerID
	Machine  MachineID
	Pool     vocab.PoolID
	Address  string
	Zone     vocab.ZoneID
	Rack     vocab.RackID
	Labels   []string
	Capacity Resources
	// Incarnation is the incarnation of the worker: the time of its last restart.
	Incarnation Millis
	// ColdLeft is the time for which the worker remains slow after its restart, as of the entry.
	ColdLeft time.Duration
	// Draining is set if the worker will be removed soon.
	Draining bool
}

// HasLabel reports whether the worker has a label.
func (w *WorkerInfo) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
