package spec

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// Defaults of fields that the files leave out.
const (
	// DefaultMaintenanceEvery is four weeks.
	DefaultMaintenanceEvery = 28 * 24 * time.Hour
	// DefaultMaintenanceDrain bounds the wait for running requests.
	DefaultMaintenanceDrain = 3 * time.Minute
	// DefaultMaintenanceReboot bounds the wait for a rebooting VM.
	DefaultMaintenanceReboot = 5 * time.Minute
	// DefaultMaintenanceStopAfter is in VMs.
	DefaultMaintenanceStopAfter = 2
	// DefaultConnectionsPerSlot gives a pool's connections from its slots.
	DefaultConnectionsPerSlot = 8
	// DefaultQueuedPerSlot gives a queue's length from all slots of its pool.
	DefaultQueuedPerSlot = 10
	// DefaultBodyBytes is in bytes.
	DefaultBodyBytes = 1 << 20
	// DefaultQueueLimit bounds the wait before the first attempt.
	DefaultQueueLimit = 10 * time.Second
	// DefaultFirstByteLimit bounds the wait for an upstream's first byte.
	DefaultFirstByteLimit = 10 * time.Second
	// DefaultRunLimit bounds the run of one request.
	DefaultRunLimit = 30 * time.Second
)

// applyDefaults sets every field that the files left out. A field that is
// present keeps its value, zero included.
func (t *tree) applyDefaults() {
	if t.fleetUsable() {
		t.applyFleetDefaults(t.fleetDoc.Root())
	}
	for _, f := range t.services {
		if f.doc.OK() {
			t.applyServiceDefaults(f.doc.Root(), f.service)
		}
	}
}

func (t *tree) applyFleetDefaults(root strictjson.Cursor) {
	m, at := &t.fleet.Maintenance, root.Field("maintenance")
	setDefault(at.Field("every"), &m.Every, Duration(DefaultMaintenanceEvery))
	setDefault(at.Field("drain"), &m.Drain, Duration(DefaultMaintenanceDrain))
	setDefault(at.Field("reboot"), &m.Reboot, Duration(DefaultMaintenanceReboot))
	setDefault(at.Field("stop_after"), &m.StopAfter, DefaultMaintenanceStopAfter)
	for i := range t.fleet.Pools {
		p := &t.fleet.Pools[i]
		connections := root.Field("pools").Index(i).Field("connections")
		setDefault(connections, &p.Connections, DefaultConnectionsPerSlot*int(p.Slots))
	}
}

func (t *tree) applyServiceDefaults(root strictjson.Cursor, s *Service) {
	pool, _ := t.fleet.Pool(s.Pool)
	hold, limits := root.Field("hold"), root.Field("limits")
	slots := pool.VMs * int(pool.Slots)
	setDefault(hold.Field("queued"), &s.Hold.Queued, min(DefaultQueuedPerSlot*slots, maxQueued))
	setDefault(hold.Field("queued_per_team"), &s.Hold.QueuedPerTeam, max(s.Hold.Queued/2, 1))
	setDefault(hold.Field("body_bytes"), &s.Hold.BodyBytes, DefaultBodyBytes)
	setDefault(limits.Field("queue"), &s.Limits.Queue, Duration(DefaultQueueLimit))
	setDefault(limits.Field("run"), &s.Limits.Run, Duration(DefaultRunLimit))
	firstByte := min(Duration(DefaultFirstByteLimit), s.Limits.Run)
	setDefault(limits.Field("first_byte"), &s.Limits.FirstByte, firstByte)
}

func setDefault[T any](at strictjson.Cursor, value *T, byDefault T) {
	if !at.Present() {
		*value = byDefault
	}
}
