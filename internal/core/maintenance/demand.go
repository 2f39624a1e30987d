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

	vms      int     // what the expected demand needs, with hysteresis
	lackCost float64 // weighted VM-seconds, see MoveCost
	idleCost float64
}

// observe takes in the demand of the last dt.
func (d *demand) observe(dt time.Duration, unix int64, slots float64) {
	if !d.started {
		d.started = true
		d.level, d.trend = slots, slots
	}
	d.level += weight(dt, levelTime) * (slots - d.level)
	d.trend += weight(dt, trendTime) * (slots - d.trend)
	d.spread += weight(dt, spreadTime) * (math.Abs(d.level-d.trend) - d.spread)
	d.days.observe(unix, dt, slots)
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
	d.vms = vmsFor(soon, slots, d.vms)
	return PoolNeed{
		Pool: pool, Demand: d.vms, Later: max(d.vms, vmsFor(later, slots, d.vms)),
		LackCost: d.lackCost, IdleCost: d.idleCost,
	}
}

// vmsFor returns the number of VMs with that many slots each that the demand
// needs. It differs from the number before only if demand left its range by
// more than needBand, so that ripples at the edge change nothing.
func vmsFor(demand float64, slots vocab.Slots, before int) int {
	if slots <= 0 {
		return 0
	}
	vms := demand / float64(slots)
	if vms <= float64(before)+needBand && vms > float64(before-1)-needBand {
		return before
	}
	return int(math.Ceil(vms))
}

// needBand is the part of a VM that demand may leave the range of a number of
// VMs by.
const needBand = 0.15

// account adds the cost of the pool's lack and idleness over dt. A cost that no
// longer grows wears off at the rate of one VM.
func (d *demand) account(dt time.Duration, p *tally) {
	rate := 0.0
	switch {
	case p.has() < p.keep.Ready || len(p.lackingZones()) > 0:
		rate = BudgetWeight * float64(max(1, p.wants()-p.has()))
	case p.has() < p.wants():
		rate = LackWeight * float64(p.wants()-p.has())
	}
	d.lackCost = accumulate(d.lackCost, rate, LackWeight, dt)
	d.idleCost = accumulate(d.idleCost, IdleWeight*float64(p.has()-p.wantsLater()), IdleWeight, dt)
}

func accumulate(cost, rate, decay float64, dt time.Duration) float64 {
	if rate <= 0 {
		rate = -decay
	}
	return max(0, cost+rate*dt.Seconds())
}
