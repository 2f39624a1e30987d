package limits

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/limit"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	skewNodes = 8
	skewTeams = 20
	teamLimit = vocab.Slots(40)
	// settleTime is the time for loans between a change of demand and the
	// measurement of the usable slots.
	settleTime = 5 * time.Second

	designTeams = 570
	designVMs   = 1600
	designPools = 74
	vmSlots     = vocab.Slots(8)
	// costDuration is the virtual time over which costs are counted.
	costDuration = 20 * time.Second
	// demandInterval is the interval between two changes of a node's demands.
	demandInterval = 10 * time.Second
	// demandFraction is the mean demand as a fraction of a node's base quota.
	demandFraction = 0.9
)

// teamTotals returns the accounts of n teams, each with teamLimit.
func teamTotals(n int) []limit.Total {
	var totals []limit.Total
	for i := range n {
		name := vocab.TeamID("team-" + strconv.Itoa(i))
		totals = append(totals, limit.Total{Account: limit.TeamAccount(name), Slots: teamLimit})
	}
	return totals
}

// vmTotals returns the accounts of the VMs of the design size.
func vmTotals() []limit.Total {
	var totals []limit.Total
	for i := range designVMs {
		name := vocab.VMID("vm-" + strconv.Itoa(i))
		totals = append(totals, limit.Total{Account: limit.VMAccount(name), Pool: poolName(i % designPools), Slots: vmSlots})
	}
	return totals
}

func poolName(i int) vocab.PoolID {
	return vocab.PoolID("pool-" + strconv.Itoa(i))
}

// measureSkew measures the usable fraction of the limits when the demand for
// each account equals its limit and is spread over the nodes by the weights.
func measureSkew(name string, weights []int) Use {
	f := newFleet(len(weights), teamTotals(skewTeams))
	sum := 0
	for _, w := range weights {
		sum += w
	}
	demand := func(node int) vocab.Slots {
		return teamLimit * vocab.Slots(weights[node]) / vocab.Slots(sum)
	}
	totalDemand := vocab.Slots(0)
	for i, s := range f.states {
		totalDemand += demand(i) * skewTeams
		for _, t := range f.totals {
			s.SetDemand(t.Account, demand(i))
		}
	}
	limitSum := float64(teamLimit * skewTeams)
	even := float64(f.usable(demand)) / limitSum
	f.run(settleTime)
	return Use{
		Scenario:  name,
		EvenSplit: even,
		WithLoans: float64(f.usable(demand)) / limitSum,
		Bound:     float64(totalDemand) / limitSum,
	}
}

// measureLoss ends the process of one node and measures the time until its
// quota is usable again.
func measureLoss() Recovery {
	f := newFleet(skewNodes, teamTotals(skewTeams))
	f.lost[0] = true
	members := []limit.Member{{Incarnation: f.ids[0], Removal: limit.RemovalLost, RemovedAt: 3}}
	for _, id := range f.ids[1:] {
		members = append(members, limit.Member{Incarnation: id})
	}
	f.foldMembers(3, members)
	wholeLimit := func(int) vocab.Slots { return teamLimit }
	r := Recovery{
		UsableMeanwhile: float64(f.usable(wholeLimit)) / float64(teamLimit*skewTeams),
		Bound:           limit.DefaultLease + maxRunLimit,
	}
	begin := f.now
	for f.usable(wholeLimit) < teamLimit*skewTeams && f.now.Sub(begin) < 10*r.Bound {
		f.run(tick)
	}
	r.Duration = f.now.Sub(begin)
	return r
}

// measureCost measures the cost of loans at the design size, first with
// changing and then with constant demands.
func measureCost(nodes int, seed uint64) Cost {
	f := newFleet(nodes, append(teamTotals(designTeams), vmTotals()...))
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)))
	for begin := f.now; f.now.Sub(begin) < costDuration; {
		f.redrawDemands(rng)
		f.run(demandInterval)
	}
	seconds := costDuration.Seconds() * float64(nodes)
	c := Cost{
		Nodes:             nodes,
		MessagesPerSecond: float64(f.sent.messages) / seconds,
		BytesPerSecond:    float64(f.sent.bytes) / seconds,
		CPUFraction:       f.cpuTime.Seconds() / seconds,
	}
	f.sent = traffic{}
	f.run(costDuration)
	c.SteadyBytesPerSecond = float64(f.sent.bytes) / seconds
	return c
}

// redrawDemands draws new demands of all nodes for all teams and pools.
func (f *fleet) redrawDemands(rng *rand.Rand) {
	n := float64(len(f.states))
	teamMean := demandFraction * float64(teamLimit) / n
	poolMean := demandFraction * float64(vmSlots) * designVMs / designPools / n
	for _, s := range f.states {
		for _, t := range f.totals[:designTeams] {
			s.SetDemand(t.Account, drawDemand(rng, teamMean))
		}
		for i := range designPools {
			s.SetDemand(limit.PoolAccount(poolName(i)), drawDemand(rng, poolMean))
		}
	}
}

// drawDemand draws a demand between half and one and a half of the mean,
// rounded at random.
func drawDemand(rng *rand.Rand, mean float64) vocab.Slots {
	return vocab.Slots(mean*(0.5+rng.Float64()) + rng.Float64())
}
