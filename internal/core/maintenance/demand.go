package maintenance

import (
	"math"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// levelTime is the time constant over which demand is averaged. A spike of a
	// few seconds hardly moves the average.
	levelTime = 300 * time.Second
	// trendTime is the time constant of the slower average that the spread is
	// measured against.
	trendTime = 1200 * time.Second
	// spreadTime is the time constant of the average spread.
	spreadTime = time.Hour
	// oddFactor is the factor by which demand must differ from the level to be
	// taken for a short spike or the lull after one.
	oddFactor = 3
	// oddTime is how long such demand is left out of the averages.
	oddTime = 60 * time.Second
	// marginSpreads is the margin over the expected demand, in average spreads.
	marginSpreads = 2
	// spreadLimit bounds the margin as a part of the level.
	spreadLimit = 0.25
)

// demand follows the demand on one pool, in slots.
type demand struct {
	started bool
	level   float64
	trend   float64
	spread  float64 // average distance of the level from the trend
	days    profile
	oddFor  time.Duration // how long demand has differed much from the level

	lackCost float64 // weighted VM-seconds, see MoveCost
	idleCost float64
}

// observe takes in the demand of the last dt.
func (d *demand) observe(dt time.Duration, unix int64, slots float64) {
	if !d.started {
		d.started = true
		d.level, d.trend = slots, slots
	}
	if d.odd(dt, slots) {
		slots = d.level
	}
	d.level += weight(dt, levelTime) * (slots - d.level)
	d.trend += weight(dt, trendTime) * (slots - d.trend)
	d.spread += weight(dt, spreadTime) * (math.Abs(d.level-d.trend) - d.spread)
	d.days.observe(unix, dt, slots)
}

// odd reports whether the demand is part of a short spike or lull.
func (d *demand) odd(dt time.Duration, slots float64) bool {
	if slots <= oddFactor*d.level+1 && slots >= d.level/oddFactor-1 {
		d.oddFor = 0
		return false
	}
	d.oddFor += dt
	return d.oddFor < oddTime
}

// weight returns the weight of the newest dt in an average with that time constant.
func weight(dt, constant time.Duration) float64 {
	return -math.Expm1(-float64(dt) / float64(constant))
}

// margin returns the slots held beyond the expected demand.
func (d *demand) margin() float64 {
	return min(marginSpreads*d.spread, spreadLimit*d.level)
}

// need returns what demand asks of a pool whose VMs have that many slots.
func (d *demand) need(pool vocab.PoolID, slots vocab.Slots, unix int64) PoolNeed {
	soon := max(d.level, d.days.most(unix, forecastSoon)) + d.margin()
	later := max(soon, d.days.most(unix, forecastLater)+d.margin())
	return PoolNeed{
		Pool: pool, Demand: vmsFor(soon, slots), Later: vmsFor(later, slots),
		LackCost: d.lackCost, IdleCost: d.idleCost,
	}
}

// vmsFor returns the least number of VMs with that many slots each that the
// demand needs.
func vmsFor(demand float64, slots vocab.Slots) int {
	if slots <= 0 {
		return 0
	}
	return int(math.Ceil(demand/float64(slots) - vmTolerance))
}

// vmTolerance is the part of a VM that demand may exceed whole VMs by.
const vmTolerance = 0.02

// account adds the cost of the pool's lack and idleness over dt. A cost that does
// not grow wears off at the rate of one VM.
func (d *demand) account(dt time.Duration, p *tally) {
	lack, idle := -LackWeight, -IdleWeight
	switch {
	case p.has() < p.keep.Ready || len(p.lackingZones()) > 0:
		lack = BudgetWeight * float64(max(1, p.wants()-p.has()))
	case p.has() < p.wants():
		lack = LackWeight * float64(p.wants()-p.has())
	}
	if surplus := p.has() - p.wantsLater(); surplus > 0 {
		idle = IdleWeight * float64(surplus)
	}
	d.lackCost = max(0, d.lackCost+lack*dt.Seconds())
	d.idleCost = max(0, d.idleCost+idle*dt.Seconds())
}
