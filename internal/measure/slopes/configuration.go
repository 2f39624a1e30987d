package slopes

import (
	"encoding/json"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
)

// folded returns the shared state after the records of a fleet.
func (z size) folded() *shared.State {
	s := shared.New()
	for _, r := range records(1, z.bodies()...) {
		if _, err := s.Apply(r); err != nil {
			panic(err) // records built here always fold
		}
	}
	return s
}

// wireBytes returns the size of a record as the log carries it.
func wireBytes(body record.Body) float64 {
	raw, err := json.Marshal(records(1, body)[0])
	if err != nil {
		panic(err) // records built here always encode
	}
	return float64(len(raw))
}

// configurationBytes returns slopes of bytes that do not depend on the machine.
func configurationBytes() []Slope {
	publish := Slope{Name: "config-bytes-teams", Title: "one publish record, 74 pools", Axis: "teams", Unit: "bytes", Design: designTeams}
	snapshot := Slope{Name: "snapshot-bytes-teams", Title: "one snapshot of the fleet stream, 74 pools", Axis: "teams", Unit: "bytes", Design: designTeams}
	for _, n := range teamSizes {
		z := design()
		z.teams = n
		publish.add(n, wireBytes(z.bodies()[0]))
		snapshot.add(n, z.snapshotBytes())
	}
	pools := Slope{Name: "config-bytes-pools", Title: "one publish record, 570 teams", Axis: "pools", Unit: "bytes", Design: designPools}
	for _, n := range poolSizes {
		z := design()
		z.pools = n
		pools.add(n, wireBytes(z.bodies()[0]))
	}
	return []Slope{publish, pools, snapshot}
}

func (s *Slope) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

func (z size) snapshotBytes() float64 {
	snap, err := z.folded().Snapshot()
	if err != nil {
		panic(err) // states built here always encode
	}
	return wireBytes(record.SnapshotTaken{Version: snap.Version, Offset: snap.Offset, Digest: snap.Digest, State: snap.State})
}

// configurationCosts returns slopes of time and memory.
func configurationCosts() []Slope {
	fold := Slope{Name: "config-fold", Title: "decode and fold one publish record", Axis: "teams", Unit: "µs", Timed: true, Design: designTeams}
	digest := Slope{Name: "digest", Title: "encode the shared state for a digest or a snapshot", Axis: "teams", Unit: "µs", Timed: true, Design: designTeams}
	restore := Slope{Name: "restore", Title: "restore a snapshot", Axis: "teams", Unit: "µs", Timed: true, Design: designTeams}
	heap := Slope{Name: "shared-heap", Title: "heap of the shared state", Axis: "teams", Unit: "bytes", Timed: true, Design: designTeams}
	for _, n := range teamSizes {
		z := design()
		z.teams = n
		s := z.folded()
		fold.add(n, micros(z.foldCost()))
		digest.add(n, micros(costOf(func() { s.Digest() })))
		snap, _ := s.Snapshot()
		restore.add(n, micros(costOf(func() { _, _ = shared.Restore(snap) })))
		heap.add(n, heapOf(func() any { return z.folded() }))
	}
	return []Slope{fold, digest, restore, heap}
}
