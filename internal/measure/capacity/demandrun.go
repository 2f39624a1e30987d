package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// learningDays is the time in which the planner learns the demand by time of
// day. It isn't counted in the results.
const learningDays = 2

// PlanResult is the result of one planning method over the service pools.
// Surplus and Shortfall are means, as fractions of all slots of the fleet.
type PlanResult struct {
	Surplus   float64
	Shortfall float64
	Moves     int
}

// addMinute adds one minute of a pool with the given slots and demand.
// fleetSlots is the number of slots of the fleet, minutes the number of minutes
// counted.
func (h *PlanResult) addMinute(slots, demand, fleetSlots float64, minutes int) {
	weight := 1 / (fleetSlots * float64(minutes))
	h.Surplus += max(0, slots-demand) * weight
	h.Shortfall += max(0, demand-slots) * weight
}

// measureDemand measures headroom and moves over several days of varying demand
// without failures.
func measureDemand(seed uint64, s Size) (planner, static, optimal PlanResult) {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := newSimulation(s)
	curves := s.demandCurves(rng, s.Days)
	minutes := (s.Days - learningDays) * secondsPerDay / secondsPerStep
	demands := make([][]float64, len(s.servicePools())) // mean per pool and minute, in slots
	fleetSlots := float64(s.VMs()) * float64(s.SlotsPerVM)
	movesBefore := 0
	for minute := range s.Days * secondsPerDay / secondsPerStep {
		counted := minute >= learningDays*secondsPerDay/secondsPerStep
		if !counted {
			movesBefore = sim.moves
		}
		for range int(time.Minute / s.SampleInterval) {
			sim.tick(s.SampleInterval, s.poolDemands(curves, sim.elapsed(), s.SampleInterval))
		}
		if !counted {
			continue
		}
		for p, pool := range s.servicePools() {
			demand := curves[p].meanOver(time.Duration(minute)*time.Minute, time.Minute)
			demands[p] = append(demands[p], demand)
			ready := len(sim.observed.Ready(pool.Name))
			planner.addMinute(float64(ready)*float64(s.SlotsPerVM), demand, fleetSlots, minutes)
			static.addMinute(float64(pool.VMs)*float64(s.SlotsPerVM), demand, fleetSlots, minutes)
		}
	}
	planner.Moves = sim.moves - movesBefore
	for p, pool := range s.servicePools() {
		optimal.addOptimum(s, pool, demands[p], fleetSlots, minutes)
	}
	return planner, static, optimal
}

// addOptimum adds the optimal plan of one pool for its demand per minute.
func (h *PlanResult) addOptimum(s Size, p PoolSize, demands []float64, fleetSlots float64, minutes int) {
	o := optimum{minVMs: max(p.MinReady, p.MinReadyPerZone*s.Zones) + 1, maxVMs: p.VMs + s.sparePool().VMs/4}
	for _, d := range demands {
		o.needed = append(o.needed, max(o.minVMs, int(math.Ceil(d/float64(s.SlotsPerVM)))))
	}
	vms := o.vmsPerMinute()
	for i, n := range vms {
		h.addMinute(float64(n)*float64(s.SlotsPerVM), demands[i], fleetSlots, minutes)
	}
	h.Moves += countMoves(vms)
}

// demandCurves draws the demand on all pools. The last curve is that of the
// spare pool.
func (s Size) demandCurves(rng *rand.Rand, days int) []demandCurve {
	var curves []demandCurve
	for _, p := range s.servicePools() {
		curves = append(curves, newDemandCurve(rng, p.VMs, s.SlotsPerVM, days))
	}
	return append(curves, newDemandCurve(rng, s.sparePool().MinReady, s.SlotsPerVM, days))
}

// poolDemands returns the mean demand on each pool in the tick that starts at
// t.
func (s Size) poolDemands(curves []demandCurve, t, tick time.Duration) []maintenance.PoolDemand {
	out := make([]maintenance.PoolDemand, len(curves))
	for p := range curves {
		d := curves[p].meanOver(t, tick)
		out[p] = maintenance.PoolDemand{Pool: s.Pools[p].Name, Slots: vocab.Slots(math.Round(d))}
	}
	return out
}

// measureSpikes returns the number of moves in two hours of constant demand
// with spikes, after three hours without. Each queue has its spikes at a
// different time.
func measureSpikes(seed uint64, s Size) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	sim := newSimulation(s)
	curves := s.demandCurves(rng, 0)
	for p := range curves {
		curves[p].dailySwing = 0
	}
	const spikesStart, spikesLength = 3 * time.Hour, 2 * time.Hour
	movesBefore := 0
	for sim.elapsed() < spikesStart+spikesLength {
		if sim.elapsed() < spikesStart {
			movesBefore = sim.moves
		}
		for p := range curves {
			curves[p].spikesEnabled = sim.elapsed() >= spikesStart
		}
		sim.tick(time.Second, s.poolDemands(curves, sim.elapsed(), time.Second))
	}
	return sim.moves - movesBefore
}
