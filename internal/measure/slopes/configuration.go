package slopes

import (
	"encoding/json"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
)

// sharedState returns the shared state after folding the fleet's records.
func (size fleetSize) sharedState() *shared.State {
	s := shared.New()
	for _, r := range sequencedRecords(1, size.recordBodies()...) {
		if _, err := s.Apply(r); err != nil {
			panic(err) // records built here always fold
		}
	}
	return s
}

// encodedRecordBytes returns the size of a record as encoded on the log, with its
// offset and envelope.
func encodedRecordBytes(body record.Body) float64 {
	raw, err := json.Marshal(sequencedRecords(1, body)[0])
	if err != nil {
		panic(err) // records built here always encode
	}
	return float64(len(raw))
}

// configurationBytes returns slopes of the encoded sizes of publish records and
// snapshots of the fleet stream.
func configurationBytes() []Slope {
	publish := Slope{Name: "config-bytes-teams", Title: "one publish record, 74 pools", Axis: "teams", Unit: "bytes", DesignSize: designTeams}
	snapshot := Slope{Name: "snapshot-bytes-teams", Title: "one snapshot of the fleet stream, 74 pools", Axis: "teams", Unit: "bytes", DesignSize: designTeams}
	for _, n := range teamCounts {
		size := designSize()
		size.teams = n
		publish.add(n, encodedRecordBytes(size.recordBodies()[0]))
		snapshot.add(n, size.snapshotBytes())
	}
	pools := Slope{Name: "config-bytes-pools", Title: "one publish record, 570 teams", Axis: "pools", Unit: "bytes", DesignSize: designPools}
	for _, n := range poolCounts {
		size := designSize()
		size.pools = n
		pools.add(n, encodedRecordBytes(size.recordBodies()[0]))
	}
	return []Slope{publish, pools, snapshot}
}

// add appends a measured point.
func (s *Slope) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

// snapshotBytes returns the size of a snapshot record of the fleet stream.
func (size fleetSize) snapshotBytes() float64 {
	snapshot, err := size.sharedState().Snapshot()
	if err != nil {
		panic(err) // states built here always encode
	}
	return encodedRecordBytes(record.SnapshotTaken{Version: snapshot.Version, Offset: snapshot.Offset, Digest: snapshot.Digest, State: snapshot.State})
}

// configurationCosts returns slopes of the processor time and heap that the shared
// state takes.
func configurationCosts() []Slope {
	fold := Slope{Name: "config-fold", Title: "decode and fold one publish record", Axis: "teams", Unit: "µs", MachineDependent: true, DesignSize: designTeams}
	digest := Slope{Name: "digest", Title: "encode the shared state for a digest or a snapshot", Axis: "teams", Unit: "µs", MachineDependent: true, DesignSize: designTeams}
	restore := Slope{Name: "restore", Title: "restore a snapshot", Axis: "teams", Unit: "µs", MachineDependent: true, DesignSize: designTeams}
	heap := Slope{Name: "shared-heap", Title: "heap of the shared state", Axis: "teams", Unit: "bytes", MachineDependent: true, DesignSize: designTeams}
	for _, n := range teamCounts {
		size := designSize()
		size.teams = n
		s := size.sharedState()
		fold.add(n, toMicroseconds(size.publishFoldCPUTime()))
		digest.add(n, toMicroseconds(cpuTimePerCall(func() { s.Digest() })))
		snapshot, _ := s.Snapshot()
		restore.add(n, toMicroseconds(cpuTimePerCall(func() { _, _ = shared.Restore(snapshot) })))
		heap.add(n, retainedHeapBytes(func() any { return size.sharedState() }))
	}
	return []Slope{fold, digest, restore, heap}
}
