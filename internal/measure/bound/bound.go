// Package bound computes what a scheduler with foreknowledge could have served of a recorded day, and
// where the rest was lost. It answers the question which part of a loss a policy could win back:
// a load that exceeds the fleet is lost for every policy.
//
// The bounds are relaxations. Jobs are fluid: they may be interrupted, divided and run on as many
// cores as there are, but not before their arrival nor, to count, after their objective. The best
// value of such a schedule is found by a greedy choice in the order of value per core-second, since
// the sets of amounts that can be served form a polymatroid.
package bound

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// slotLength is the length of the intervals in which capacity is counted.
	slotLength = 250 * time.Millisecond
	// searchSteps is the number of bisections with which the part of a job that still fits is found.
	searchSteps = 6
	// supplyValidFor is the time for which an observed supply holds without a newer one.
	supplyValidFor = 5 * time.Second
)

// Fleet is the capacity that may serve a day.
type Fleet struct {
	Machines        int
	CoresPerMachine float64
}

// Result is the value of one pool's jobs, or of all jobs.
type Result struct {
	Pool string
	Jobs int
	// Offered is the value of all jobs, Served of those that met their objective.
	Offered, Served float64
	// WithSupply is what the capacity that the pool had could serve on time, in the best order and
	// without delays at the start; WithFleet what all machines could serve if moves took no time.
	WithSupply, WithFleet float64
	// MachineSeconds is the least time of machines that serve all jobs.
	MachineSeconds float64
}

// Report has a row for each pool and one for all.
type Report struct {
	Pools []Result
	All   Result
}

// Compute computes the bounds of a day.
func Compute(day Day, fleet Fleet) Report {
	if len(day.Jobs) == 0 {
		return Report{All: Result{Pool: "all"}}
	}
	jobs := slices.Clone(day.Jobs)
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(b.Value*a.Work, a.Value*b.Work) })
	start, end := jobs[0].Arrival, jobs[0].Arrival
	for i := range jobs {
		start = earlier(start, jobs[i].Arrival)
		end = later(end, jobs[i].Arrival.Add(jobs[i].Objective))
	}
	slots := int(end.Sub(start)/slotLength) + 1
	whole := make([]float64, slots)
	for i := range whole {
		whole[i] = float64(fleet.Machines) * fleet.CoresPerMachine * slotLength.Seconds()
	}
	results := map[string]*Result{}
	withFleet := bestAmounts(jobs, start, whole)
	for i := range jobs {
		j := &jobs[i]
		r := results[j.Pool]
		if r == nil {
			r = &Result{Pool: j.Pool}
			results[j.Pool] = r
		}
		r.Jobs++
		r.Offered += j.Value
		r.WithFleet += j.Value * withFleet[i] / j.Work
		r.MachineSeconds += j.Work / fleet.CoresPerMachine
		if j.onTime() {
			r.Served += j.Value
		}
	}
	report := Report{All: Result{Pool: "all"}}
	for pool, r := range results {
		own := slices.DeleteFunc(slices.Clone(jobs), func(j Job) bool { return j.Pool != pool })
		for i, amount := range bestAmounts(own, start, observedCapacity(day.Supply, pool, start, slots)) {
			r.WithSupply += own[i].Value * amount / own[i].Work
		}
		report.Pools = append(report.Pools, *r)
		report.All.add(*r)
	}
	slices.SortFunc(report.Pools, func(a, b Result) int { return strings.Compare(a.Pool, b.Pool) })
	return report
}

func (r *Result) add(other Result) {
	r.Jobs += other.Jobs
	r.Offered += other.Offered
	r.Served += other.Served
	r.WithSupply += other.WithSupply
	r.WithFleet += other.WithFleet
	r.MachineSeconds += other.MachineSeconds
}

// observedCapacity is the work that a pool's machines could do in each slot, in core-seconds.
func observedCapacity(supply []Supply, pool string, start time.Time, slots int) []float64 {
	var own []Supply
	for _, s := range supply {
		if s.Pool == pool {
			own = append(own, s)
		}
	}
	slices.SortStableFunc(own, func(a, b Supply) int { return a.At.Compare(b.At) })
	capacity := make([]float64, slots)
	next := 0
	for i := range capacity {
		at := start.Add(time.Duration(i) * slotLength)
		for next < len(own) && !own[next].At.After(at) {
			next++
		}
		if next > 0 && at.Sub(own[next-1].At) <= supplyValidFor {
			capacity[i] = own[next-1].Cores * slotLength.Seconds()
		}
	}
	return capacity
}

// fluidJob is a job in slots: it may be served from the first slot on, before the deadline's.
type fluidJob struct {
	first, deadline int
	amount          float64
}

// bestAmounts returns the work of each job that is served on time if the value is the highest
// possible. The jobs are in the order of their value per core-second.
func bestAmounts(jobs []Job, start time.Time, capacity []float64) []float64 {
	fluid := make([]fluidJob, len(jobs))
	for i := range jobs {
		arrival := jobs[i].Arrival.Sub(start)
		fluid[i] = fluidJob{first: int(arrival / slotLength), deadline: int((arrival + jobs[i].Objective) / slotLength)}
	}
	byArrival := make([]int, len(jobs))
	for i := range byArrival {
		byArrival[i] = i
	}
	slices.SortStableFunc(byArrival, func(a, b int) int { return cmp.Compare(fluid[a].first, fluid[b].first) })
	amounts := make([]float64, len(jobs))
	for i := range jobs {
		if jobs[i].Chain > jobs[i].Objective {
			continue
		}
		fluid[i].amount = jobs[i].Work
		if feasible(fluid, byArrival, capacity) {
			continue
		}
		low, high := 0.0, jobs[i].Work
		for range searchSteps {
			fluid[i].amount = (low + high) / 2
			if feasible(fluid, byArrival, capacity) {
				low = fluid[i].amount
			} else {
				high = fluid[i].amount
			}
		}
		fluid[i].amount = low
	}
	for i := range fluid {
		amounts[i] = fluid[i].amount
	}
	return amounts
}

// pending orders the jobs that have arrived by deadline.
type pending struct {
	jobs    []fluidJob
	indexes []int
}

func (p *pending) Len() int { return len(p.indexes) }
func (p *pending) Less(i, j int) bool {
	return p.jobs[p.indexes[i]].deadline < p.jobs[p.indexes[j]].deadline
}
func (p *pending) Swap(i, j int) { p.indexes[i], p.indexes[j] = p.indexes[j], p.indexes[i] }
func (p *pending) Push(x any)    { p.indexes = append(p.indexes, x.(int)) }
func (p *pending) Pop() any {
	last := p.indexes[len(p.indexes)-1]
	p.indexes = p.indexes[:len(p.indexes)-1]
	return last
}

// feasible reports whether all amounts are served before their deadlines, by serving the earliest
// deadline first.
func feasible(jobs []fluidJob, byArrival []int, capacity []float64) bool {
	const negligible = 1e-9 // core-seconds
	left := make([]float64, len(jobs))
	p := &pending{jobs: jobs}
	next := 0
	for slot, free := range capacity {
		for ; next < len(byArrival) && jobs[byArrival[next]].first <= slot; next++ {
			if i := byArrival[next]; jobs[i].amount > negligible {
				left[i] = jobs[i].amount
				heap.Push(p, i)
			}
		}
		for p.Len() > 0 {
			i := p.indexes[0]
			if jobs[i].deadline < slot {
				return false
			}
			served := min(free, left[i])
			free, left[i] = free-served, left[i]-served
			if left[i] > negligible {
				break
			}
			heap.Pop(p)
		}
	}
	return p.Len() == 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// String implements fmt.Stringer.
func (r Report) String() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pool\tjobs\ton time\twith the supply it had\twith the whole fleet\tmachine-seconds")
	for _, p := range append(slices.Clone(r.Pools), r.All) {
		offered := max(p.Offered, 1e-9)
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.0f\n", p.Pool, p.Jobs, p.Served/offered, p.WithSupply/offered, p.WithFleet/offered, p.MachineSeconds)
	}
	_ = w.Flush() // strings.Builder accepts every write.
	return text.String()
}
