package job

import "time"

// Machines go first to pools with work that can still meet its objective. After a burst of several times
// the fleet's capacity thousands of jobs are late, and most of them for good; if they count as waiting
// work, their pool keeps its machines for half a minute, while the jobs of other pools become late as
// well, one pool after the other.

// minLackFraction is the fraction of the fleet from which on machines count as lacking for on-time work.
// Below it, late work may have machines as well: in a large fleet a few tasks always wait.
const minLackFraction = 0.02

// lateWorkDelay is the time without a lack of machines for on-time work after which pools get machines
// for late work. Hysteresis keeps machines from moving to late work and back before they have served any.
const lateWorkDelay = time.Second

// updateLateWork records whether a pool lacks machines for work that can still be on time.
func (o *owner) updateLateWork() {
	minLack := max(1, minLackFraction*float64(len(o.fleet.machineIDs)))
	for _, d := range o.demand {
		if d.urgentMachines >= minLack {
			o.onTimeLackedAt = o.s.now
			return
		}
	}
}

// lateWorkCounts reports whether pools get machines for late work.
func (o *owner) lateWorkCounts() bool {
	return o.onTimeLackedAt == 0 || o.s.now.Sub(o.onTimeLackedAt) > lateWorkDelay
}

// countsForSupply reports whether a pool gets machines for a job.
func (o *owner) countsForSupply(t jobTimes) bool {
	return !t.known || t.slack() >= 0 || o.lateWorkCounts()
}
