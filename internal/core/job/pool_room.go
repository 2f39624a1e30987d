package job

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// minReportedShortage is the time for which a pool must lack machines for its shortage to be
// logged: shorter ones end with the next placement pass.
const minReportedShortage = 500 * time.Millisecond

// shortage is a time during which a pool lacks machines.
type shortage struct {
	since vocab.Instant
	// most is the largest number of machines that the pool lacked.
	most int
}

// noteShortages logs for each pool that lacked machines when it has them.
func (o *owner) noteShortages() {
	f := &o.fleet
	for i := range o.s.config.Pools {
		p := o.s.config.Pools[i].Name
		short, known := f.shortages[p]
		if need := f.machinesNeeded[p]; need > 0 {
			if !known {
				short.since = o.s.now
			}
			short.most = max(short.most, need)
			f.shortages[p] = short
			continue
		}
		delete(f.shortages, p)
		if after := o.s.now.Sub(short.since); known && after >= minReportedShortage {
			o.s.logEvent(LogPoolSupplied, "pool", p, "after_ms", after.Milliseconds(), "most", short.most)
		}
	}
}
