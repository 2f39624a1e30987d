package spec

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// Defaults of fields that are missing from the files.
const (
	// DefaultMaintenanceInterval is the default of Maintenance.Interval: four weeks.
	DefaultMaintenanceInterval = 28 * 24 * time.Hour
	// DefaultDrainTimeout is the default of Maintenance.DrainTimeout.
	DefaultDrainTimeout = 3 * time.Minute
	// DefaultRebootTimeout is the default of Maintenance.RebootTimeout.
	DefaultRebootTimeout = 5 * time.Minute
	// DefaultStopAfterVMs is the default of Maintenance.StopAfter.
	DefaultStopAfterVMs = 2
	// DefaultConnectionsPerSlot is the default of Pool.MaxConnections for each slot of a VM.
	DefaultConnectionsPerSlot = 8
	// DefaultMaxQueuedPerSlot is the default of QueueLimits.MaxQueued for each slot of the pool.
	DefaultMaxQueuedPerSlot = 10
	// DefaultMaxBodyBytes is the default of QueueLimits.MaxBodyBytes.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultQueueTimeLimit is the default of TimeLimits.Queue.
	DefaultQueueTimeLimit = 10 * time.Second
	// DefaultFirstByteTimeLimit is the default of TimeLimits.FirstByte, unless
	// TimeLimits.Run is shorter.
	DefaultFirstByteTimeLimit = 10 * time.Second
	// DefaultRunTimeLimit is the default of TimeLimits.Run.
	DefaultRunTimeLimit = 30 * time.Second
)

// applyDefaults sets the default of every field that is missing from the
// files. A field that is present keeps its value, zero included.
func (t *configTree) applyDefaults() {
	if t.fleetParsed() {
		t.applyFleetDefaults(t.fleetDoc.Root())
	}
	for _, f := range t.services {
		if f.doc.Parsed() {
			t.applyServiceDefaults(f.doc.Root(), f.service)
		}
	}
}

func (t *configTree) applyFleetDefaults(root strictjson.Cursor) {
	m, at := &t.fleet.Maintenance, root.Field("maintenance")
	setDefault(at.Field("every"), &m.Interval, Duration(DefaultMaintenanceInterval))
	setDefault(at.Field("drain"), &m.DrainTimeout, Duration(DefaultDrainTimeout))
	setDefault(at.Field("reboot"), &m.RebootTimeout, Duration(DefaultRebootTimeout))
	setDefault(at.Field("stop_after"), &m.StopAfter, DefaultStopAfterVMs)
	for i := range t.fleet.Pools {
		p := &t.fleet.Pools[i]
		connections := root.Field("pools").Index(i).Field("connections")
		setDefault(connections, &p.MaxConnections, DefaultConnectionsPerSlot*int(p.Slots))
	}
}

func (t *configTree) applyServiceDefaults(root strictjson.Cursor, s *Service) {
	pool, _ := t.fleet.Pool(s.Pool)
	hold, limits := root.Field("hold"), root.Field("limits")
	slots := pool.VMs * int(pool.Slots)
	setDefault(hold.Field("queued"), &s.QueueLimits.MaxQueued, min(DefaultMaxQueuedPerSlot*slots, maxQueued))
	setDefault(hold.Field("queued_per_team"), &s.QueueLimits.MaxQueuedPerTeam, max(s.QueueLimits.MaxQueued/2, 1))
	setDefault(hold.Field("body_bytes"), &s.QueueLimits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(limits.Field("queue"), &s.TimeLimits.Queue, Duration(DefaultQueueTimeLimit))
	setDefault(limits.Field("run"), &s.TimeLimits.Run, Duration(DefaultRunTimeLimit))
	firstByte := min(Duration(DefaultFirstByteTimeLimit), s.TimeLimits.Run)
	setDefault(limits.Field("first_byte"), &s.TimeLimits.FirstByte, firstByte)
}

func setDefault[T any](at strictjson.Cursor, value *T, defaultValue T) {
	if !at.Present() {
		*value = defaultValue
	}
}
