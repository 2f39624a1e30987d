package job

import "time"

// A worker drops the ends that a poll acknowledges. A poll cannot name the incarnation of a worker
// that it is for, and a new incarnation numbers its ends from 1 again: it would take a number meant
// for the previous one for its own, and drop ends that no owner has read. Their tasks would run
// again. So an end is only acknowledged while no run can have ended on an incarnation that is not
// known here yet.

// acknowledgeWithin is the time after a start within which the run does not end, not even on a
// worker that has just restarted. Waiting for longer would double the polls of busy workers.
const acknowledgeWithin = 100 * time.Millisecond

// acknowledge adds to a poll the ends that are on the stream. Each number is only sent until
// the worker has received it, and not after a failed poll. A poll that withholds it reads the
// worker's incarnation instead, and the next one follows at once.
func (o *owner) acknowledge(w *worker, poll *Poll) {
	due := w.fenced && w.failedPolls == 0 && w.ackedEnd > w.confirmedEnd
	w.ackWithheld = due && !w.ackWithheld && o.unlistedMargin(w) <= 0
	if due && !w.ackWithheld {
		poll.Acked = w.ackedEnd
	}
	w.ackInFlight = poll.Acked
}

// maxPollWait returns how long a worker may wait with the response to a poll. Runs that start
// during the wait of a poll with an acknowledgement must not end in it.
func (o *owner) maxPollWait(w *worker) time.Duration {
	switch {
	case w.ackWithheld:
		return 0
	case w.ackInFlight != 0:
		return max(0, o.unlistedMargin(w))
	default:
		return pollWait
	}
}

// unlistedMargin returns the time for which no run ends that the worker has not listed yet. A
// listed run belongs to the known incarnation.
func (o *owner) unlistedMargin(w *worker) time.Duration {
	margin := acknowledgeWithin
	for _, t := range w.tasks {
		if !t.listed && t.startSentAt != 0 {
			margin = min(margin, acknowledgeWithin-o.s.now.Sub(t.startSentAt))
		}
	}
	return margin
}
