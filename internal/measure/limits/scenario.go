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
	// settleTime is how long loans may move before a use is read.
	settleTime = 5 * time.Second

	designTeams = 570
	designVMs   = 1600
	designPools = 74
	vmSlots     = vocab.Slots(8)
	// costTime is the virtual time over which costs are counted.
	costTime = 20 * time.Second
	// shiftEvery is the time between two changes of a node's demands.
	shiftEvery = 10 * time.Second
	// demandPart is the mean demand as a part of a node's even part.
	demandPart = 0.9
)

// teams returns accounts of teams with one limit.
func teams(n int) []limit.Total {
	var totals []limit.Total
	for i := range n {
		name := vocab.TeamID("team-" + strconv.Itoa(i))
		totals = append(totals, limit.Total{Account: limit.TeamAccount(name), Slots: teamLimit})
	}
	return totals
}

// vms returns accounts of the VMs of the design size.
func vms() []limit.Total {
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

// playSkew gives each node a part of a demand that equals the limit.
func playSkew(name string, weights []int) Use {
	f := newFleet(len(weights), teams(skewTeams))
	sum := 0
	for _, w := range weights {
		sum += w
	}
	demand := func(node int) vocab.Slots {
		return teamLimit * vocab.Slots(weights[node]) / vocab.Slots(sum)
	}
	wanted := vocab.Slots(0)
	for i, s := range f.states {
		wanted += demand(i) * skewTeams
		for _, t := range f.totals {
			s.SetDemand(t.Account, demand(i))
		}
	}
	limitSum := float64(teamLimit * skewTeams)
	even := float64(f.usable(demand)) / limitSum
	f.run(settleTime)
	return Use{
		Scenario: name,
		Even:     even,
		Lent:     float64(f.usable(demand)) / limitSum,
		Bound:    float64(wanted) / limitSum,
	}
}

// playLoss ends one node's process and measures until its part is usable again.
func playLoss() Recovery {
	f := newFleet(skewNodes, teams(skewTeams))
	f.lost[0] = true
	members := []limit.Member{{Incarnation: f.ids[0], Removal: limit.RemovalLost, RemovedAt: 3}}
	for _, id := range f.ids[1:] {
		members = append(members, limit.Member{Incarnation: id})
	}
	f.fold(3, members)
	all := func(int) vocab.Slots { return teamLimit }
	r := Recovery{
		During: float64(f.usable(all)) / float64(teamLimit*skewTeams),
		Bound:  limit.DefaultLease + longestRun,
	}
	begin := f.now
	for f.usable(all) < teamLimit*skewTeams && f.now.Sub(begin) < 10*r.Bound {
		f.run(tick)
	}
	r.Time = f.now.Sub(begin)
	return r
}

// playCost counts what loans cost at the design size, with demands that change.
func playCost(nodes int, seed uint64) Cost {
	f := newFleet(nodes, append(teams(designTeams), vms()...))
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)))
	for begin := f.now; f.now.Sub(begin) < costTime; {
		f.shift(rng)
		f.run(shiftEvery)
	}
	seconds := costTime.Seconds() * float64(nodes)
	c := Cost{
		Nodes:    nodes,
		Messages: float64(f.sent.messages) / seconds,
		Bytes:    float64(f.sent.bytes) / seconds,
		CPU:      f.busy.Seconds() / seconds,
	}
	f.sent = traffic{}
	f.run(costTime)
	c.SteadyBytes = float64(f.sent.bytes) / seconds
	return c
}

// shift draws new demands of all nodes for all teams and pools.
func (f *fleet) shift(rng *rand.Rand) {
	n := float64(len(f.states))
	teamMean := demandPart * float64(teamLimit) / n
	poolMean := demandPart * float64(vmSlots) * designVMs / designPools / n
	for _, s := range f.states {
		for _, t := range f.totals[:designTeams] {
			s.SetDemand(t.Account, draw(rng, teamMean))
		}
		for i := range designPools {
			s.SetDemand(limit.PoolAccount(poolName(i)), draw(rng, poolMean))
		}
	}
}

// draw returns a demand between half and one and a half of the mean.
func draw(rng *rand.Rand, mean float64) vocab.Slots {
	return vocab.Slots(mean*(0.5+rng.Float64()) + rng.Float64())
}
