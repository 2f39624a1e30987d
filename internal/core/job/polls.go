package job

import "time"

// sendPoll polls a worker. The poll extends the leases of its runs and acknowledges the ends that
// are on the stream. It waits until the fence is raised if that is due.
func (o *owner) sendPoll(w *worker) {
	if w.fenceDue && !o.raiseFence(w) {
		return
	}
	poll := Poll{
		Worker: w.info.ID, Address: w.info.Address, Incarnation: w.info.Incarnation, Fence: w.fence, Until: o.leasesUntil,
	}
	o.acknowledge(w, &poll)
	busy := len(w.tasks) > 0
	if busy && w.fenced && w.failedPolls == 0 && !w.silent && o.s.now < o.leasesUntil {
		poll.Lease = o.grantLease(w)
	}
	if busy && w.fenced && w.failedPolls == 0 && w.lastEnd == w.ackedEnd && !w.moreEnds {
		poll.Wait = o.maxPollWait(w)
	}
	w.pollInFlight = true
	o.s.emit(poll)
}

// busyPollInterval is the time until the next poll of a worker that has tasks. A small fleet
// needs no pause between polls.
func (o *owner) busyPollInterval() time.Duration {
	interval := time.Duration(len(o.workerIDs)) * pollPausePerWorker
	if interval < TickInterval/2 {
		return 0
	}
	return interval
}

// schedulePoll sets the time of the next poll and sends it if that time has come.
func (o *owner) schedulePoll(w *worker) {
	switch {
	case w.failedPolls > 0:
		return // The time of the next attempt is set.
	case w.ackWithheld:
		w.nextPollAt = o.s.now
	case w.lastEnd != w.ackedEnd:
		// The ends have to be on the stream before the next poll acknowledges them, but the
		// poll must not be so late that the lease expires.
		w.nextPollAt = o.s.now.Add(pollWait)
		if len(w.tasks) > 0 && o.storeSlow() {
			// Tasks that wait for the next end may start under a grant.
			w.nextPollAt = o.s.now.Add(unackedPollInterval)
		}
	case w.moreEnds && w.ackedEnd > w.confirmedEnd:
		// The acknowledgement lets the worker list the ends that follow.
		w.nextPollAt = o.s.now
	case w.moreEnds:
		w.nextPollAt = o.s.now.Add(pollRetryDelay)
	case len(w.tasks) > 0:
		w.nextPollAt = o.s.now.Add(o.busyPollInterval())
	case w.orphaned != Resources{}:
		w.nextPollAt = o.s.now.Add(stopRetryDelay)
	case w.listed:
		w.nextPollAt = w.nextClockReading()
	default:
		w.nextPollAt = never
	}
	if !w.pollInFlight && o.s.now >= w.nextPollAt {
		o.sendPoll(w)
	}
}
