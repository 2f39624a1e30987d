package poolplan

import (
	"encoding/json"
	"math"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// handover is a recorded hand-over of machines from one pool to the next.
type handover struct {
	Donor, Receiver int
	TaskMS          int       `json:"task_ms"`
	Tasks           int       `json:"tasks_per_machine"`
	Waiting         int       `json:"waiting_tasks"`
	MoveMS          int       `json:"move_ms"`
	SlackMS         int       `json:"slack_ms"`
	Arrivals        []float64 `json:"arrivals"`
	crashed         int
}

func loadHandover(g gomega.Gomega) handover {
	raw, err := os.ReadFile("testdata/handover.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var h handover
	g.Expect(json.Unmarshal(raw, &h)).To(gomega.Succeed())
	return h
}

// replayed is the state of one machine: the ends of its tasks, in steps of 100 ms, odd ones of
// jobs whose last step runs.
type replayed struct {
	pool     vocab.PoolID
	arrives  int
	ends     []int
	follow   []bool
	emptying bool
	down     bool
}

// replay plans each 100 ms and returns when the receiver has had 80% of the machines that the
// arrivals keep busy, and the longest queue of the donor's own tasks.
func (h handover) replay(policy Policy, load float64) (reached time.Duration, donorQueue int) {
	const donor, receiver = "donor", "receiver"
	var fleet []*replayed
	for i := range h.Donor {
		m := &replayed{pool: donor}
		for k := range h.Tasks {
			m.ends = append(m.ends, (i*7+k*11)%(h.TaskMS/100)+1)
			m.follow = append(m.follow, (i+k)%2 == 0)
		}
		fleet = append(fleet, m)
	}
	for range h.Receiver {
		fleet = append(fleet, &replayed{pool: receiver})
	}
	var queue []int // the rest of each waiting task of the donor
	for range h.Waiting {
		queue = append(queue, h.TaskMS/100)
	}
	rate := 0.0
	for step, arrival := range h.Arrivals {
		rate = rate*math.Exp(-0.1/0.6) + load*arrival/0.6
		has, moving, own := 0, 0, 0.0
		for i, m := range fleet {
			if h.crashed > 0 && step == 8 && m.emptying && i%h.crashed == 0 {
				m.down = true
			}
			for range m.endTasks(step) {
				queue = append(queue, h.TaskMS/100)
			}
			switch {
			case m.pool == receiver && m.arrives <= step && !m.down:
				has++
			case m.pool == receiver:
				moving++
			}
			for k, end := range m.ends {
				own += h.pace(end-step, m.follow[k])
			}
		}
		if wanted := min(load, 1) * 180; reached == 0 && float64(has) >= 0.8*wanted {
			reached = time.Duration(step) * 100 * time.Millisecond
		}
		for _, m := range fleet {
			for m.pool == donor && !m.emptying && !m.down && len(queue) > 0 && len(m.ends) < h.Tasks {
				m.ends, m.follow = append(m.ends, step+queue[0]), append(m.follow, false)
				queue = queue[1:]
			}
		}
		donorQueue = max(donorQueue, len(queue))
		for _, rest := range queue {
			own += h.pace(rest, false)
		}
		size := 0
		var machines []Machine
		for i, m := range fleet {
			if m.pool != donor || m.down {
				continue
			}
			size++
			empty := 0
			for _, end := range m.ends {
				empty = max(empty, end-step)
			}
			machines = append(machines, Machine{
				Index: i, Pool: donor, Capacity: 1, EmptyIn: time.Duration(empty) * 100 * time.Millisecond, Tasks: len(m.ends),
				Free: float64(h.Tasks-len(m.ends)) / float64(h.Tasks), Emptying: m.emptying,
			})
			m.emptying = false
		}
		need := math.Floor(rate - float64(has+moving))
		lack := math.Ceil(float64(len(queue)) / float64(h.Tasks))
		plan := Make(policy, []Pool{
			{ID: donor, Size: float64(size), Need: lack, Own: own / float64(h.Tasks)},
			{ID: receiver, Size: float64(has + moving), Need: need, Own: rate},
		}, machines, 140)
		for _, a := range plan.Moves {
			fleet[a.Machine].pool, fleet[a.Machine].arrives = receiver, step+h.MoveMS/100
		}
		for _, a := range plan.Empty {
			fleet[a.Machine].emptying = true
		}
	}
	return reached, donorQueue
}

// pace is the part of a slot with which a task and the one that follows it are on time.
func (h handover) pace(rest int, follow bool) float64 {
	work := float64(rest)
	if follow {
		work += float64(h.TaskMS) / 100
	}
	return work / (work + float64(h.SlackMS)/100)
}

// endTasks removes the ended tasks and returns the number of tasks that follow them.
func (m *replayed) endTasks(step int) int {
	following := 0
	for i := len(m.ends) - 1; i >= 0; i-- {
		if m.ends[i] > step {
			continue
		}
		if m.follow[i] {
			following++
		}
		m.ends, m.follow = append(m.ends[:i], m.ends[i+1:]...), append(m.follow[:i], m.follow[i+1:]...)
	}
	return following
}

// policies are the plan as it was, and machines by due work and by expected end.
var policies = [...]Policy{{}, DefaultPolicy}

// TestHandover replays the end of one pool's turn beside the begin of the next one's, at half,
// the whole and twice the load: the receiver had 80 % of its machines after 4 to 5 s.
func TestHandover(t *testing.T) {
	for load, within := range map[float64][len(policies)]time.Duration{
		0.5: {4200 * time.Millisecond, 3800 * time.Millisecond},
		1:   {4800 * time.Millisecond, 3800 * time.Millisecond},
		2:   {4800 * time.Millisecond, 3500 * time.Millisecond},
	} {
		g := gomega.NewWithT(t)
		h := loadHandover(g)
		for i, policy := range policies {
			reached, queue := h.replay(policy, load)
			t.Logf("load %v, policy %+v: 80 %% after %v, up to %d tasks of the donor wait", load, policy, reached, queue)
			g.Expect(reached).To(gomega.BeNumerically(">", 0))
			if i == 0 {
				g.Expect(reached).To(gomega.BeNumerically(">=", within[i]), "the replay shows the fault")
			} else {
				g.Expect(reached).To(gomega.BeNumerically("<=", within[i]))
			}
		}
	}
}

// TestHandoverWithCrashes: a fifth of the machines that are being emptied crashes; others take
// their place.
func TestHandoverWithCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	h := loadHandover(g)
	h.crashed = 5
	reached, _ := h.replay(DefaultPolicy, 1)
	g.Expect(reached).To(gomega.BeNumerically(">", 0))
	g.Expect(reached).To(gomega.BeNumerically("<=", 4200*time.Millisecond))
}

// TestDonorKeepsItsDueWork: a pool gives no machine that its own work requires to be on time
// while another one is as short.
func TestDonorKeepsItsDueWork(t *testing.T) {
	g := gomega.NewWithT(t)
	var machines []Machine
	for i := range 10 {
		machines = append(machines, Machine{Index: i, Pool: "a", Capacity: 1, EmptyIn: 300 * time.Millisecond, Tasks: 1})
	}
	pools := []Pool{{ID: "a", Size: 10, Own: 10, Need: 5}, {ID: "b", Size: 10, Own: 14, Need: 4}}
	plan := Make(DefaultPolicy, pools, machines, 10)
	g.Expect(plan).To(gomega.Equal(Plan{}))
	pools[0].Own, pools[0].Need = 7, 0
	plan = Make(DefaultPolicy, pools, machines, 10)
	g.Expect(plan.Empty).To(gomega.HaveLen(3))
}

// TestCapacityCountsNotMachines: two machines of twice the capacity serve a need of four.
func TestCapacityCountsNotMachines(t *testing.T) {
	g := gomega.NewWithT(t)
	var machines []Machine
	for i := range 4 {
		machines = append(machines, Machine{Index: i, Pool: "spare", Capacity: 2})
	}
	plan := Make(DefaultPolicy, []Pool{{ID: "p", Need: 4, Own: 4}, {ID: "spare", Spare: true}}, machines, 10)
	g.Expect(plan.Moves).To(gomega.Equal([]Assignment{{3, "p"}, {2, "p"}}))
}
