package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestWaitIsTheLeastOfPoolAndTeam: the wait is the pool's, or the team's within its limit if
// that is longer; unknown capacity gives no bound.
func TestWaitIsTheLeastOfPoolAndTeam(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewWorkAhead(100)
	a.Add("a", 0, 400)
	a.Add("b", 10, 60)
	g.Expect(a.MinWait("a")).To(gomega.BeNumerically("~", 4450*time.Millisecond, 50*time.Millisecond))
	g.Expect(a.MinWait("b")).To(gomega.Equal(6 * time.Second))
	unknown := NewWorkAhead(0)
	unknown.Add("a", 0, 1e9)
	g.Expect(unknown.MinWait("a")).To(gomega.BeZero())
}

// TestLimitedTeamDoesNotHoldUpTheOthers: a team with a hundred times what its limit lets it run
// is not served before the others, whatever the order of service says.
func TestLimitedTeamDoesNotHoldUpTheOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewWorkAhead(100)
	a.Add("hot", 10, 10_000)
	a.Add("a", 0, 90)
	g.Expect(a.MinWait("a")).To(gomega.BeNumerically("<", 1100*time.Millisecond))
}

// TestRefusedCallersReturnOverTheTimeThatTheirWorkTakes: callers of a burst of ten times what
// the pool serves return spread over the drain, the first ones when there is room again.
func TestRefusedCallersReturnOverTheTimeThatTheirWorkTakes(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := ReturnPolicy{Min: time.Second, Max: 15 * time.Second}
	times := WorkTimes{MinWait: 8 * time.Second, Chain: time.Second, WorthlessAfter: 6 * time.Second}
	g.Expect(times.Excess()).To(gomega.Equal(3 * time.Second))
	perSecond := map[int]int{}
	for seed := range uint64(600) {
		delay := policy.Delay(times, 6*time.Second, seed)
		g.Expect(delay).To(gomega.BeNumerically(">=", 3*time.Second), "not before the backlog has room for it")
		perSecond[int(delay.Seconds())]++
	}
	for second := 3; second < 9; second++ {
		g.Expect(perSecond[second]).To(gomega.BeNumerically("~", 100, 40), "second %d", second)
	}
	g.Expect(policy.Delay(times, time.Hour, 7)).To(gomega.BeNumerically("<=", policy.Max))
}
