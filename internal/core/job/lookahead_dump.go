package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// ReservationDump is a date on named workers for tasks that are too large for the free room.
type ReservationDump struct {
	Pool    vocab.PoolID `json:"pool"`
	Job     ID           `json:"job"`
	Step    int          `json:"step"`
	Workers []WorkerID   `json:"workers"`
	AgeMS   int64        `json:"age_ms"`
	// InMS is the time until the room is expected to be free.
	InMS int64 `json:"in_ms"`
}

func (o *owner) dumpReservations() []ReservationDump {
	var list []ReservationDump
	for _, r := range o.reservations {
		d := ReservationDump{
			Pool: r.pool, Job: r.step.job.record.ID, Step: r.step.number,
			AgeMS: o.s.now.Sub(r.madeAt).Milliseconds(), InMS: max(r.at, o.s.now).Sub(o.s.now).Milliseconds(),
		}
		for _, w := range r.workers {
			d.Workers = append(d.Workers, w.info.ID)
		}
		list = append(list, d)
	}
	return list
}

// OldestReservation is the age of the oldest reservation.
func (d *Dump) OldestReservation() time.Duration {
	oldest := int64(0)
	for _, r := range d.Reservations {
		oldest = max(oldest, r.AgeMS)
	}
	return time.Duration(oldest) * time.Millisecond
}

// WaitingJobDump explains why a job waits: its class, as of the last placement pass, is what
// decides its position before its value.
type WaitingJobDump struct {
	Job   ID           `json:"job"`
	Pool  vocab.PoolID `json:"pool"`
	Class string       `json:"class"`
	// SlackMS is the time by which its work may start later and still be on time.
	SlackMS int64 `json:"slack_ms"`
	// Reserved is set if tasks of the job have a date on named workers.
	Reserved bool `json:"reserved,omitempty"`
	// WaitsFor is what a step of the job waited for in the last placement pass.
	WaitsFor string `json:"waits_for,omitempty"`
	// HeldBy holds the workers on which an earlier owner may have started tasks of the job: it
	// waits for their answer or the end of their leases, whatever its class.
	HeldBy []WorkerID `json:"held_by,omitempty"`
}

// maxWaitingDumped bounds the waiting jobs in a dump.
const maxWaitingDumped = 20

var classNames = map[int]string{
	classLongRunning: "long-running", classOnTime: "on time if started now", classCanWait: "can wait", classOverRate: "over its team's rate",
	classLate: "late", classOverdue: "overdue",
}

// dumpWaitingJobs lists the jobs that wait for the longest time.
func (o *owner) dumpWaitingJobs() []WaitingJobDump {
	var list []WaitingJobDump
	for _, j := range o.jobOrder {
		if len(list) == maxWaitingDumped {
			break
		}
		if j.terminalPhase != 0 || !j.hasWaitingTasks() {
			continue
		}
		reserved := slices.ContainsFunc(o.reservations, func(r *reservation) bool { return r.step.job == j })
		waiting := WaitingJobDump{
			Job: j.record.ID, Pool: o.poolOf(j), Class: classNames[j.class], Reserved: reserved,
			SlackMS: (j.times.slack() - o.s.now.Sub(j.timesAt)).Milliseconds(), WaitsFor: obstacleNames[j.obstacle()],
		}
		for _, g := range j.inherited {
			waiting.HeldBy = append(waiting.HeldBy, g.Worker)
		}
		list = append(list, waiting)
	}
	return list
}

// obstacle is what the job's first waiting step waited for in the last placement pass.
func (j *activeJob) obstacle() obstacle {
	for _, occ := range j.occurrences.live {
		for _, st := range occ.steps {
			if st.waiting() > 0 && st.ready() {
				return st.obstacle
			}
		}
	}
	return noObstacle
}
