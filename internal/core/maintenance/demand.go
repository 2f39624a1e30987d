package maintenance

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// levelTimeConstant is the time constant of the average demand. It is long
	// enough that a spike of a few seconds hardly moves the average.
	levelTimeConstant = 300 * time.Second
	// trendTimeConstant is the time constant of the slower average that the
	// level is compared with to measure the spread.
	trendTimeConstant = 1200 * time.Second
	// spreadTimeConstant is the time constant of the average spread.
	spreadTimeConstant = time.Hour
	// spikeFactor is the factor above or below the level from which demand is
	// treated as a short spike or the lull after one.
	spikeFactor = 3
	// maxSpikeTime is the time for which such demand is left out of the
	// averages.
	maxSpikeTime = 60 * time.Second
	// marginSpreads is the margin over the expected demand, in average spreads.
	marginSpreads = 2
	// maxMarginFraction bounds the margin, as a fraction of the level.
	maxMarginFraction = 0.25
)

// demandEstimator estimates the demand on one pool from samples, in slots, and
// accumulates the costs of holding too few or too many VMs for it.
type demandEstimator struct {
	started  bool
	level    float64
	trend    float64
	spread   float64 // average absolute difference of level and trend
	daily    dailyProfile
	spikeFor time.Duration // how long demand has differed from the level by spikeFactor

	shortfallCost float64 // in weighted VM-seconds, see MoveCost
	surplusCost   float64
}

// observe adds a sample of demand that covers the last dt.
func (d *demandEstimator) observe(dt time.Duration, unix int64, slots float64) {
	if !d.started {
		d.started = true
		d.level, d.trend = slots, slots
	}
	if d.inSpike(dt, slots) {
		slots = d.level
	}
	d.level += smoothingWeight(dt, levelTimeConstant) * (slots - d.level)
	d.trend += smoothingWeight(dt, trendTimeConstant) * (slots - d.trend)
	d.spread += smoothingWeight(dt, spreadTimeConstant) * (math.Abs(d.level-d.trend) - d.spread)
	d.daily.observe(unix, dt, slots)
}

// inSpike reports whether the demand is part of a short spike or lull.
func (d *demandEstimator) inSpike(dt time.Duration, slots float64) bool {
	if slots <= spikeFactor*d.level+1 && slots >= d.level/spikeFactor-1 {
		d.spikeFor = 0
		return false
	}
	d.spikeFor += dt
	return d.spikeFor < maxSpikeTime
}

// smoothingWeight returns the weight of a sample that covers dt in an
// exponential moving average with that time constant.
func smoothingWeight(dt, constant time.Duration) float64 {
	return -math.Expm1(-float64(dt) / float64(constant))
}

// margin returns the slots to hold beyond the expected demand.
func (d *demandEstimator) margin() float64 {
	return min(marginSpreads*d.spread, maxMarginFraction*d.level)
}

// need returns what demand requires of a pool whose VMs have that many slots
// each.
func (d *demandEstimator) need(pool vocab.PoolID, slots vocab.Slots, unix int64) PoolNeed {
	soon := max(d.level, d.daily.peak(unix, acquireHorizon)) + d.margin()
	later := max(soon, d.daily.peak(unix, retainHorizon)+d.margin())
	return PoolNeed{
		Pool: pool, Demand: vmsFor(soon, slots), RetainDemand: vmsFor(later, slots),
		ShortfallCost: d.shortfallCost, SurplusCost: d.surplusCost,
	}
}

// vmsFor returns the smallest number of VMs with that many slots each that
// covers the demand.
func vmsFor(demand float64, slots vocab.Slots) int {
	if slots <= 0 {
		return 0
	}
	return int(math.Ceil(demand/float64(slots) - vmTolerance))
}

// vmTolerance is the fraction of a VM by which demand may exceed a whole number
// of VMs without one more being needed.
const vmTolerance = 0.02

// accrueCosts adds the costs of the pool's shortfall and surplus over dt. A
// cost whose cause has ended decreases at the rate of one VM.
func (d *demandEstimator) accrueCosts(dt time.Duration, p *poolState) {
	shortfallRate, surplusRate := -ShortfallWeight, -SurplusWeight
	switch {
	case p.expectedVMs() < p.budget.MinReady || len(p.zonesBelowBudget()) > 0:
		shortfallRate = BudgetWeight * float64(max(1, p.targetVMs()-p.expectedVMs()))
	case p.expectedVMs() < p.targetVMs():
		shortfallRate = ShortfallWeight * float64(p.targetVMs()-p.expectedVMs())
	}
	if surplus := p.expectedVMs() - p.retainedVMs(); surplus > 0 {
		surplusRate = SurplusWeight * float64(surplus)
	}
	d.shortfallCost = max(0, d.shortfallCost+shortfallRate*dt.Seconds())
	d.surplusCost = max(0, d.surplusCost+surplusRate*dt.Seconds())
}
