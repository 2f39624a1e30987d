package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// An operator evacuates an availability zone because it is about to fail or to be worked on:
// until the evacuation is removed nothing may start there. The requests are on the operators'
// topic, which every node follows, so that they survive owners and restarts.

// EvacuationsRead reports that the operators' records were read. It follows every successful
// read, also one without a change, so that a node knows how old its knowledge is.
type EvacuationsRead struct {
	eventMarker
	// Zones are all availability zones whose evacuation is in force.
	Zones []vocab.ZoneID
	// SentAt is the time when the read was sent: an evacuation that was acknowledged earlier is
	// in Zones.
	SentAt vocab.Instant
}

// evacuations is a node's knowledge of the operators' evacuations.
type evacuations struct {
	// since holds the time from which this node knows the evacuation of each zone.
	since map[vocab.ZoneID]vocab.Instant
	// zones are the keys of since, sorted.
	zones []vocab.ZoneID
	// readAt is the time when the newest successful read was sent, 0 before the first.
	readAt vocab.Instant
}

// minRequestAge is the least age of the last read of the requests at which an owner starts no
// tasks. While nothing changes a read takes a second, so that with a lower one no task would start.
const minRequestAge = 2 * time.Second

// startMargin is the time that the start of a task may take from the decision to its execution.
const startMargin = time.Second

// contains reports whether a zone is being evacuated.
func (e *evacuations) contains(zone vocab.ZoneID) bool {
	_, found := e.since[zone]
	return found
}

// evacuationsCurrent reports whether the node knows the evacuations well enough to start tasks:
// an evacuation that was acknowledged EvacuationLimit ago, less startMargin, is known here. The
// owner's authority does not imply it, because it depends on appends to another topic.
func (s *State) evacuationsCurrent() bool {
	limit := s.settings.EvacuationLimit
	return limit == 0 || s.evacuations.readAt != 0 && s.now.Sub(s.evacuations.readAt) < max(limit-startMargin, minRequestAge)
}

// evacuationsKnown reports whether the node has read the evacuations since its start.
func (s *State) evacuationsKnown() bool {
	return s.settings.EvacuationLimit == 0 || s.evacuations.readAt != 0
}

// handleEvacuationsRead replaces the set of evacuated zones.
func (s *State) handleEvacuationsRead(e EvacuationsRead) {
	ev := &s.evacuations
	wasCurrent := s.evacuationsCurrent()
	ev.readAt = max(ev.readAt, e.SentAt)
	zones := slices.Clone(e.Zones)
	slices.Sort(zones)
	zones = slices.Compact(zones)
	if slices.Equal(zones, ev.zones) {
		if s.owner != nil && !wasCurrent {
			s.owner.planDue = true
		}
		return
	}
	since := make(map[vocab.ZoneID]vocab.Instant, len(zones))
	for _, zone := range zones {
		since[zone] = s.now
		if at, known := ev.since[zone]; known {
			since[zone] = at
			continue
		}
		s.logEvent(LogEvacuation, "zone", zone, "state", "requested", "zones", len(zones))
	}
	for _, zone := range ev.zones {
		if _, remains := since[zone]; !remains {
			s.logEvent(LogEvacuation, "zone", zone, "state", "removed", "zones", len(zones),
				"after_s", s.now.Sub(ev.since[zone]).Seconds())
		}
	}
	ev.since, ev.zones = since, zones
	if s.owner != nil {
		s.owner.evacuationsChanged()
	}
}

// evacuationsChanged applies a change of the evacuated zones to the workers.
func (o *owner) evacuationsChanged() {
	for _, w := range o.workers {
		w.evacuated = o.s.evacuations.contains(w.info.Zone)
	}
	o.planDue, o.evacuationsLoggedAt = true, 0
	if o.stage == stageActive {
		o.checkWorkers()
	}
}

// mayStart reports whether the owner may start tasks.
func (o *owner) mayStart() bool { return o.mayOrder() && o.s.evacuationsCurrent() }

// moveTasksOut takes the long-running tasks off a worker that must not keep them: one that
// drains, or one in an evacuated zone as long as there is a machine or a worker elsewhere. Tasks
// that end by themselves are let end.
func (o *owner) moveTasksOut(w *worker, canLeaveZones bool) {
	if w.info.Draining || w.evacuated && canLeaveZones {
		o.evacuate(w)
	}
}

// canLeaveZones reports whether any worker, or machine that could become one, is outside the
// evacuated zones. If every zone is being evacuated, the tasks run on where they are.
func (o *owner) canLeaveZones() bool {
	for _, w := range o.workers {
		if w.listed && !w.evacuated && !w.info.Draining {
			return true
		}
	}
	for _, m := range o.fleet.machines {
		if m.info.State != MachineDown && !o.s.evacuations.contains(m.info.Zone) {
			return true
		}
	}
	return false
}

// evacuatedMachine reports whether a machine is in an evacuated zone: it is no capacity.
func (o *owner) evacuatedMachine(m *machine) bool { return o.s.evacuations.contains(m.info.Zone) }

// movesIntoEvacuatedZone reports whether a scheduled order would bring a machine of an evacuated
// zone into use.
func (o *owner) movesIntoEvacuatedZone(m *machine) bool {
	return m.order == OrderMove && o.evacuatedMachine(m) && !o.isSparePool(m.targetPool)
}

// idleInEvacuatedZone reports whether a machine of an evacuated zone has been idle for so long
// that switching it off pays.
func (o *owner) idleInEvacuatedZone(m *machine) bool {
	return o.evacuatedMachine(m) && m.info.State == MachineUp && o.acceptsOrder(m) && m.idleSince != 0 &&
		m.cordonedAt == 0 && o.s.now.Sub(m.idleSince) >= minIdleBeforeSwitchOff
}

// fenceStart stops a run on a worker in an evacuated zone whose start has no answer: the start
// would otherwise be sent again, and a copy of it could be carried out late.
func (o *owner) fenceStart(t *task) {
	if t.state == runStarting && o.s.now.Sub(t.startSentAt) > startRepeatDelay {
		o.stopTask(t)
	}
}

// coldPenalty is added to the score of a cold worker: a task goes to one only if no warm worker
// has room. It is above any score of free capacity and below that of a wrong rack.
const coldPenalty = 10

// coldPenalty returns the addition to the worker's score for a placement.
func (w *worker) coldPenalty(now vocab.Instant) float64 {
	if now < w.coldUntil {
		return coldPenalty
	}
	return 0
}

// EvacuationDump is the evacuation of an availability zone.
type EvacuationDump struct {
	Zone   vocab.ZoneID `json:"zone"`
	SinceS float64      `json:"since_s"`
	// The owner knows what is left there: the listed workers, and the tasks on them.
	Workers          int `json:"workers"`
	LongRunningTasks int `json:"long_running_tasks"`
	FiniteTasks      int `json:"finite_tasks"`
}

// dumpEvacuations returns the evacuations, sorted by zone.
func (s *State) dumpEvacuations() []EvacuationDump {
	var list []EvacuationDump
	for _, zone := range s.evacuations.zones {
		d := EvacuationDump{Zone: zone, SinceS: s.now.Sub(s.evacuations.since[zone]).Seconds()}
		if s.owner != nil {
			s.owner.countEvacuated(&d)
		}
		list = append(list, d)
	}
	return list
}

// countEvacuated counts what is left in an evacuated zone.
func (o *owner) countEvacuated(d *EvacuationDump) {
	for _, w := range o.workers {
		if w.info.Zone != d.Zone {
			continue
		}
		if w.listed {
			d.Workers++
		}
		finite := countFiniteTasks(w)
		d.FiniteTasks += finite
		d.LongRunningTasks += len(w.tasks) - finite
	}
}

// evacuationLogInterval is the time between two log events about an evacuation in force.
const evacuationLogInterval = time.Second

// logEvacuations logs what is left in each evacuated zone.
func (o *owner) logEvacuations() {
	if len(o.s.evacuations.zones) == 0 || o.s.now.Sub(o.evacuationsLoggedAt) < evacuationLogInterval {
		return
	}
	o.evacuationsLoggedAt = o.s.now
	for _, d := range o.s.dumpEvacuations() {
		o.s.logEvent(LogEvacuation, "zone", d.Zone, "state", "in force", "workers", d.Workers,
			"long_running", d.LongRunningTasks, "finite", d.FiniteTasks, "everywhere", !o.canLeaveZones(),
			"known", o.s.evacuationsCurrent())
	}
}
