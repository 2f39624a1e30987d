package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/core/retry"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// designFleet returns a configuration with the given number of teams and pools,
// and one service per pool.
func designFleet(teams, pools int) spec.Fleet {
	zones := []vocab.ZoneID{"a", "b", "c", "d", "e", "f", "g", "h"}
	fleet := spec.Fleet{Name: "design", Regions: []spec.Region{{Name: "r", Zones: zones}}}
	for i := range teams {
		fleet.Teams = append(fleet.Teams, spec.Team{Name: teamName(i), Share: 1 + i%7, UpperLimit: 200})
	}
	for i := range pools {
		name := fmt.Sprintf("pool-%d", i)
		fleet.Pools = append(fleet.Pools, spec.Pool{Name: vocab.PoolID(name), VMs: 22, Slots: 8, MaxConnections: 64, Zones: zones})
		fleet.Services = append(fleet.Services, spec.Service{
			Queue: vocab.QueueID(name), Pool: vocab.PoolID(name), Open: true,
			QueueLimits: spec.QueueLimits{MaxQueued: 4000, MaxQueuedPerTeam: 1000},
			TimeLimits:  spec.TimeLimits{Queue: spec.Duration(10 * time.Second), FirstByte: spec.Duration(time.Second), Run: spec.Duration(30 * time.Second)},
			Requests:    []spec.RequestRule{{PathPrefix: "/", Idempotent: true}},
		})
	}
	return fleet
}

func teamName(i int) vocab.TeamID {
	return vocab.TeamID(fmt.Sprintf("team-%d", i))
}

// designState returns the state of the only member of a fleet, which has folded
// the configuration and one key per team and has read a list of vms VMs.
func designState(b *testing.B, teams, pools, vms int) *core.State {
	s := core.New(core.Identity{Node: "n", Incarnation: 1, Zone: "a"})
	bodies := []record.Body{
		record.ConfigPublished{Fleet: designFleet(teams, pools)},
		record.NodeJoined{Node: "n", Incarnation: 1, Zone: "a"},
	}
	for i := range teams {
		bodies = append(bodies, record.KeyGiven{Key: vocab.KeyID(teamName(i)), Team: teamName(i), SecretHash: []byte("h")})
	}
	var records []record.Sequenced
	for i, body := range bodies {
		envelope, err := record.Encode(vocab.RecordID(fmt.Sprint(i)), body)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, record.Sequenced{Offset: vocab.Offset(i + 1), Envelope: envelope})
	}
	s.Step(1, core.RecordsRead{Records: records})
	var rows []observe.Row
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		rows = append(rows, observe.Row{Name: vocab.VMID(name), Incarnation: 1, Pool: vocab.PoolID(fmt.Sprintf("pool-%d", i%pools)), Zone: "a", Address: "10.0.0.1:1", Phase: observe.ListLive})
	}
	s.Step(2, core.VMsListed{Version: 1, Rows: rows})
	return s
}

// BenchmarkReducer measures the events per second of whole requests (an arrival
// and an end of the attempt each), with a tick every 100 ms of simulated time,
// up to the design size.
func BenchmarkReducer(b *testing.B) {
	for _, size := range []struct{ teams, pools, vms int }{{6, 5, 50}, {100, 20, 400}, {570, 74, 1600}, {1200, 148, 3200}} {
		b.Run(fmt.Sprintf("teams=%d/vms=%d", size.teams, size.vms), func(b *testing.B) {
			s := designState(b, size.teams, size.pools, size.vms)
			const inFlight = 256
			now := vocab.Instant(time.Second)
			var attempts []vocab.AttemptID
			events := 0
			keys := make([]vocab.KeyID, size.teams)
			for i := range keys {
				keys[i] = vocab.KeyID(teamName(i))
			}
			queues := make([]vocab.QueueID, size.pools)
			for i := range queues {
				queues[i] = vocab.QueueID(fmt.Sprintf("pool-%d", i))
			}
			hash := []byte("h")
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(20 * time.Microsecond)
				if i%5000 == 0 {
					s.Step(now, core.Tick{})
				}
				effects := s.Step(now, core.RequestArrived{
					Request: vocab.RequestID(i + 1), Queue: queues[i%size.pools],
					Key: keys[i%size.teams], SecretHash: hash, Method: "GET", Path: "/x", Replayable: true,
				})
				events++
				for _, e := range effects {
					if d, ok := e.(core.Dispatch); ok {
						attempts = append(attempts, d.Attempt)
					}
				}
				if len(attempts) > inFlight {
					s.Step(now, core.AttemptEnded{Attempt: attempts[0], Result: retry.Completed})
					attempts = attempts[1:]
					events++
				}
			}
			b.StopTimer()
			if len(attempts) < inFlight && b.N > 2*inFlight {
				b.Fatalf("only %d attempts run: requests were refused", len(attempts))
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
