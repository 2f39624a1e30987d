// Package job decides the life of jobs: acceptance, ownership of the workers
// through the log, starts and ends of tasks, cancellation and recovery.
//
// A job is a set of steps, a step a number of like tasks. State.Step takes
// events and returns effects as data. It does no I/O, reads no clock and starts
// no goroutine: equal events give equal effects.
package job

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ID names a job. It is chosen by the caller: 16 hexadecimal digits.
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

// WorkerID names one worker; it stays when a worker restarts in place.
type WorkerID string

// MachineID names the machine that a worker runs on.
type MachineID string

// Run numbers the starts of one task. It rises and is never used twice.
type Run uint64

// Millis is a time of day in milliseconds since 1970.
type Millis int64

// Fence orders the owners of the workers: a worker that has seen a higher
// fence refuses a lower one. It is derived from the offset of a claim.
type Fence uint64

// Resources is what a task needs or a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"c,omitempty"`
	// Memory is in MiB.
	Memory int64 `json:"m,omitempty"`
	// GPU counts accelerators.
	GPU int64 `json:"g,omitempty"`
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Times returns r n times.
func (r Resources) Times(n int64) Resources { return Resources{r.CPU * n, r.Memory * n, r.GPU * n} }

// Holds reports whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.GPU <= r.GPU
}

// Step is a number of like tasks.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// EstimateMS is the caller's guess of one task's run time.
	EstimateMS int64 `json:"e,omitempty"`
	// After lists the steps that must be done first.
	After []int `json:"a,omitempty"`
	// Checkpoints is set if a run can go on from its last checkpoint.
	Checkpoints bool `json:"k,omitempty"`
	// Gang is set if the tasks run only all together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if the tasks run faster within one rack.
	SameRack bool `json:"rack,omitempty"`
	// Label, if set, is one that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack, if set, is the rack where the data is.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker, if set, bounds the tasks of the step on one worker.
	MaxPerWorker int `json:"spread,omitempty"`
	// Speculative is set if copies may run at the same time.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `json:"long,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTargetMS bounds the tail latency of a serving task.
	TailTargetMS int64 `json:"tail,omitempty"`
	// Filler is set if the tasks use only the processor time left by others.
	Filler bool `json:"fill,omitempty"`
	// MayMiss is how many tasks may be away at a time by our own acts.
	MayMiss int `json:"miss,omitempty"`
}

// Reserved is what one task of the step counts for on a worker.
func (s *Step) Reserved() Resources {
	if s.Filler {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// Spec is what a caller hands in.
type Spec struct {
	// Payload is passed to the workers unread.
	Payload string `json:"p,omitempty"`
	Steps   []Step `json:"s"`
	// Occurrences, if set, is how many times the steps run: occurrence k at
	// FirstAt + k*IntervalMS.
	Occurrences int    `json:"times,omitempty"`
	FirstAt     Millis `json:"first,omitempty"`
	IntervalMS  int64  `json:"every,omitempty"`
}

// Queue is one entrance for jobs.
type Queue struct {
	Name vocab.QueueID
	// Host and Prefix select the queue of a request.
	Host, Prefix string
	Pool         vocab.PoolID
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Stretch times the longest chain of work, and Latency more, is the
	// queue's latency objective.
	Stretch float64
	Latency time.Duration
	// Open is set if no key is needed.
	Open bool
	// Advised is set if an advisor says which workers may run a step.
	Advised *Advised
}

// Advised is how a queue's advisor answers.
type Advised struct {
	Decide, Each, Valid time.Duration
}

// Pool is a set of alike workers.
type Pool struct {
	Name vocab.PoolID
	// Guarded is set if the workers themselves refuse what does not fit.
	Guarded bool
	// Spare is set if the pool's machines are switched off.
	Spare bool
}

// Team is who a job counts for.
type Team struct {
	Name   vocab.TeamID
	Keys   []string
	Weight float64
	// Limit is the most that may run at a time; a zero field is no limit.
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

// Index prepares the configuration for look-ups. It is called once.
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

// TeamOf returns the team that holds a key.
func (c *Config) TeamOf(key string) (vocab.TeamID, bool) {
	team, ok := c.keys[key]
	return team, ok
}

// TaskName names a task on the workers: JOB.OCCURRENCE.STEP.INDEX.
type TaskName struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String implements fmt.Stringer.
func (n TaskName) String() string {
	return string(n.Job) + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName reads what String writes.
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

// WorkerInfo is what the platform lists of a worker.
type WorkerInfo struct {
	ID      WorkerID
	Machine MachineID
	Pool    vocab.PoolID
	Address string
	Zone    vocab.ZoneID
	Rack    vocab.RackID
	Labels  []string
	Room    Resources
	// Born tells successive lives of one worker apart.
	Born Millis
	// Draining is set if the worker is about to leave.
	Draining bool
}

// Has reports whether the worker carries a label.
func (w *WorkerInfo) Has(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
