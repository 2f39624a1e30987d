package lookahead

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestPaceUsesTheSlack: a step asks for all its tasks when it is due, and for fewer the more
// slack it has; what it leaves is asked for again as the slack shrinks.
func TestPaceUsesTheSlack(t *testing.T) {
	g := gomega.NewWithT(t)
	p := Pace{Waiting: 12, RunTime: 2 * time.Second}
	g.Expect(p.TasksWantedNow()).To(gomega.Equal(12))
	p.Slack = 4 * time.Second
	g.Expect(p.TasksWantedNow()).To(gomega.Equal(4))
	p.Running = 4
	p.Waiting = 8
	g.Expect(p.TasksWantedNow()).To(gomega.BeZero())
	p.Slack = 2 * time.Second
	g.Expect(p.TasksWantedNow()).To(gomega.Equal(2))
	p.Sigma = 1
	g.Expect(p.TasksWantedNow()).To(gomega.Equal(8), "the spread of run times uses up the slack")
}

// TestRemainingGrowsWithAgeBeyondTheExpectedEnd.
func TestRemainingGrowsWithAgeBeyondTheExpectedEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Remaining(time.Second, 0, 0.3)).To(gomega.Equal(time.Second))
	half := Remaining(time.Second, 500*time.Millisecond, 0.3)
	g.Expect(half).To(gomega.BeNumerically("~", 500*time.Millisecond, 20*time.Millisecond))
	late, later := Remaining(time.Second, 1500*time.Millisecond, 0.8), Remaining(time.Second, 4*time.Second, 0.8)
	g.Expect(late).To(gomega.BeNumerically(">", 0))
	g.Expect(later).To(gomega.BeNumerically(">", late))
	g.Expect(Remaining(time.Second, time.Minute, 0.3)).To(gomega.Equal(30 * time.Second))
}

// TestSpreadLearns the spread of run times, from a prior.
func TestSpreadLearns(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Spread
	g.Expect(s.Sigma()).To(gomega.BeNumerically("~", priorSpread, 1e-9))
	for i := range 400 {
		factor := math.Exp(0.8 * float64(1-2*(i%2)))
		s.Observe(time.Second, time.Duration(factor*float64(time.Second)))
	}
	g.Expect(s.Sigma()).To(gomega.BeNumerically("~", 0.8, 0.02))
}

// TestReserveFindsTheEarliestTime at which all tasks of a gang fit, on the workers that hold most.
func TestReserveFindsTheEarliestTime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := vocab.Instant(time.Hour)
	half := Size{CPU: 4, Memory: 8}
	rooms := []Room{
		{Free: half, Releases: []Release{{now + 3, half}}, Limit: 10},
		{Releases: []Release{{now + 1, half}, {now + 9, half}}, Limit: 10},
	}
	r, found := Reserve(now, rooms, Size{CPU: 8, Memory: 8}, 1)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(r).To(gomega.Equal(Reservation{now + 3, []int{1, 0}}))
	r, found = Reserve(now, rooms, half, 2)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(r.At).To(gomega.Equal(now + 1))
	_, found = Reserve(now, rooms, half, 5)
	g.Expect(found).To(gomega.BeFalse())
}

// TestHoldAdmitsWhatEndsBeforeOrLeavesRoom: small tasks use reserved room until its date.
func TestHoldAdmitsWhatEndsBeforeOrLeavesRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHold(Room{Free: Size{CPU: 10}}, 100, Size{CPU: 7}, 1)
	g.Expect(h.Admits(100, Size{CPU: 10})).To(gomega.BeTrue())
	g.Expect(h.Admits(101, Size{CPU: 4})).To(gomega.BeFalse())
	g.Expect(h.Admits(101, Size{CPU: 3})).To(gomega.BeTrue())
	h.Add(101, Size{CPU: 3})
	g.Expect(h.Admits(101, Size{CPU: 1})).To(gomega.BeFalse())
}
