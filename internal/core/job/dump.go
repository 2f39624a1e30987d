package job

import (
	"maps"
	"slices"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Dump is the state of a node as printed for operators.
type Dump struct {
	Node          vocab.NodeID `json:"node"`
	Ready         bool         `json:"ready"`
	Owning        bool         `json:"owning"`
	Owner         vocab.NodeID `json:"owner"`
	Fence         Fence        `json:"fence"`
	ConfigVersion uint64       `json:"config_version"`
	// Offset is the offset of the next read, ReadAgeMS the age of the last one in
	// milliseconds.
	Offset    int64 `json:"offset"`
	ReadAgeMS int64 `json:"read_age_ms"`
	// Remote is set if the node does not follow the stream, LargeFleet if the fleet has such
	// nodes. Nodes is the number of nodes in the directory as this node last read it.
	Remote     bool `json:"remote"`
	LargeFleet bool `json:"large_fleet"`
	Nodes      int  `json:"nodes"`
	// Forwarded is the number of calls that wait for the reply of another node.
	Forwarded int `json:"forwarded"`
	// Jobs is the number of jobs by phase.
	Jobs    map[string]int `json:"jobs"`
	Workers []WorkerDump   `json:"workers,omitempty"`
	Waiting []PoolDump     `json:"waiting,omitempty"`
	// Evacuations are the evacuated availability zones. EvacuationsCurrent is false while the node
	// last read the operators' requests too long ago to start tasks.
	Evacuations        []EvacuationDump `json:"evacuations,omitempty"`
	EvacuationsCurrent bool             `json:"evacuations_current"`
	// RefusedForLoad is the number of jobs of each team that this owner refused because they
	// could not be served in time.
	RefusedForLoad map[vocab.TeamID]int `json:"refused_for_load,omitempty"`
	// Reservations holds the dates of large tasks on named workers.
	Reservations []ReservationDump `json:"reservations,omitempty"`
	// WaitingJobs holds the jobs that wait for the longest time.
	WaitingJobs []WaitingJobDump `json:"waiting_jobs,omitempty"`
	Waves       []WaveDump       `json:"waves,omitempty"`
	// GrantedJobs is the number of jobs whose tasks may start without another append, HeldJobs
	// of those that wait for workers on which an earlier owner may have started tasks.
	GrantedJobs int `json:"granted_jobs,omitempty"`
	HeldJobs    int `json:"held_jobs,omitempty"`
	// LiveTasks is the number of tasks in memory, WaitingOccurrences of the due occurrences that have none there yet.
	LiveTasks          int `json:"live_tasks,omitempty"`
	WaitingOccurrences int `json:"waiting_occurrences,omitempty"`
	// Advice is the use of the advisor.
	Advice AdviceDump `json:"advice,omitzero"`
	// SuspectedTasks is the number of tasks that may have crashed a worker and start on trial.
	SuspectedTasks int `json:"suspected_tasks,omitempty"`
	// UnreachableWorkers is the number of listed workers that do not respond to this owner.
	UnreachableWorkers int `json:"unreachable_workers,omitempty"`
	// OnTimeLackedMS is the time in milliseconds since a pool last lacked machines for work that can be on
	// time: before a second has passed, pools get none for late work.
	OnTimeLackedMS int64 `json:"on_time_lacked_ms,omitempty"`
}

// AdviceDump is the owner's use of the advisor.
type AdviceDump struct {
	// Job is the job of the request without a response yet, PendingMS the time since it was sent.
	Job       ID    `json:"job,omitempty"`
	PendingMS int64 `json:"pending_ms,omitempty"`
	// LackingSteps is the number of steps that wait for their turn to request advice.
	LackingSteps int `json:"lacking_steps,omitempty"`
	// Verdicts is the number of answers about a step and a worker in memory.
	Verdicts int `json:"verdicts,omitempty"`
	// Failures is the number of failed requests in a row.
	Failures int `json:"failures,omitempty"`
}

// WorkerDump is the state of a worker as known to the owner.
type WorkerDump struct {
	ID      WorkerID     `json:"id"`
	Machine MachineID    `json:"machine"`
	Pool    vocab.PoolID `json:"pool"`
	Usable  bool         `json:"usable"`
	Tasks   int          `json:"tasks"`
	Free    Resources    `json:"free"`
	// Failures is the number of consecutive failed polls.
	Failures int `json:"failures,omitempty"`
	// Silent is set if the stream says that the worker's lease is not extended.
	Silent      bool  `json:"silent,omitempty"`
	LeaseLeftMS int64 `json:"lease_left_ms"`
	// Failing is set if most of the worker's recent runs failed: tasks go to others first.
	Failing bool `json:"failing,omitempty"`
}

// PoolDump is the demand of the tasks of a pool that wait for free capacity.
type PoolDump struct {
	Pool    vocab.PoolID `json:"pool"`
	Waiting Resources    `json:"waiting"`
	// Jobs and CoreSeconds are the finite jobs that wait and their remaining work, Cores the
	// capacity that may serve them.
	Jobs        int `json:"jobs"`
	CoreSeconds int `json:"core_seconds"`
	Cores       int `json:"cores"`
}

// WaveDump is the progress of a maintenance wave.
type WaveDump struct {
	Wave     int64 `json:"wave"`
	Machines int   `json:"machines"`
	Done     int   `json:"done"`
	Complete bool  `json:"complete"`
}

// Dump returns the state of the node. Workers, pools and waves are sorted.
func (s *State) Dump() Dump {
	d := Dump{
		Node: s.self.Node, Ready: s.Ready(), Owning: s.Owning(), Owner: s.ledger.owner.Node,
		Fence: s.ledger.ownerFence, ConfigVersion: s.configVersion(), Offset: s.stream.nextOffset,
		ReadAgeMS: s.now.Sub(s.stream.lastReadAt).Milliseconds(), Jobs: map[string]int{},
		Remote: s.directory.remote, LargeFleet: s.directory.large, Nodes: len(s.directory.members), Forwarded: len(s.forwards),
	}
	for _, job := range s.ledger.Jobs {
		d.Jobs[string(job.VisiblePhase())]++
	}
	for _, number := range s.waveNumbers {
		w := s.waves[number]
		d.Waves = append(d.Waves, WaveDump{number, len(w.wave.Machines), len(w.done), w.reportedComplete})
	}
	d.Evacuations, d.EvacuationsCurrent = s.dumpEvacuations(), s.evacuationsCurrent()
	if s.owner != nil {
		s.owner.dump(&d)
	}
	return d
}

func (o *owner) dump(d *Dump) {
	for _, id := range o.workerIDs {
		w := o.workers[id]
		d.Workers = append(d.Workers, WorkerDump{
			ID: id, Machine: w.info.Machine, Pool: w.info.Pool, Usable: w.usable(o.s.now), Tasks: len(w.tasks),
			Free: w.free(), Failures: w.failedPolls, Silent: w.silent, LeaseLeftMS: w.leaseUntil.Sub(o.s.now).Milliseconds(),
			Failing: w.outcomes.failing(o.s.now),
		})
	}
	d.UnreachableWorkers = o.unreachableWorkers()
	if o.onTimeLackedAt != 0 {
		d.OnTimeLackedMS = o.s.now.Sub(o.onTimeLackedAt).Milliseconds()
	}
	d.RefusedForLoad = maps.Clone(o.door.refusals)
	for _, j := range o.jobOrder {
		d.LiveTasks += j.liveTasks()
		d.WaitingOccurrences += j.occurrences.waiting()
		if len(j.grants) > 0 {
			d.GrantedJobs++
		}
		if len(j.inherited) > 0 {
			d.HeldJobs++
		}
	}
	for _, p := range slices.Sorted(maps.Keys(o.demand)) {
		d.Waiting = append(d.Waiting, o.dumpPool(p))
	}
	d.SuspectedTasks, d.Advice = o.suspectedTasks(), o.dumpAdvice()
	d.Reservations, d.WaitingJobs = o.dumpReservations(), o.dumpWaitingJobs()
}

func (o *owner) dumpAdvice() AdviceDump {
	a := &o.advisor
	dump := AdviceDump{LackingSteps: a.lackingSteps, Verdicts: a.verdicts, Failures: a.failures}
	if r := a.pending; r != nil {
		dump.Job, dump.PendingMS = r.step.job.record.ID, o.s.now.Sub(r.sentAt).Milliseconds()
	}
	return dump
}

func (o *owner) dumpPool(p vocab.PoolID) PoolDump {
	dump := PoolDump{Pool: p, Waiting: o.demand[p].waiting}
	if backlog := o.door.pools[p]; backlog != nil {
		dump.Jobs, dump.Cores = len(backlog.jobs), int(backlog.cores)
		for _, c := range backlog.jobs {
			dump.CoreSeconds += int(c.remaining)
		}
	}
	return dump
}

// LogEvents returns the log events with their texts.
func LogEvents() map[LogEventID]string {
	texts := make(map[LogEventID]string, len(logEventTexts))
	for id, text := range logEventTexts {
		texts[id] = text
	}
	return texts
}
