package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// commands holds the commands of the session scripts by name. A command gets the words
// after its name as a and returns its output.
var commands = map[string]func(*session, []string) string{
	"load": func(s *session, a []string) string {
		s.sim.arrivalRates[vocab.QueueID(option(a, "queue", ""))] = s.number(option(a, "rate", "0"))
		return ""
	},
	"spike": func(s *session, a []string) string {
		queue, factor := vocab.QueueID(option(a, "queue", "")), s.number(a[1])
		mean := s.sim.arrivalRates[queue]
		s.sim.arrivalRates[queue] = mean * factor
		s.sim.schedule(s.duration(a[3]), func() { s.sim.arrivalRates[queue] = mean })
		return ""
	},
	"log":   func(s *session, a []string) string { s.sim.log.down = a[0] == "down"; return "" },
	"list":  func(s *session, a []string) string { s.sim.vms.frozen = a[0] == "frozen"; s.sim.vms.sync(); return "" },
	"cut":   func(s *session, a []string) string { return s.setPartition(a, true) },
	"mend":  func(s *session, a []string) string { return s.setPartition(a, false) },
	"kill":  func(s *session, a []string) string { s.node(a[0]).kill(); return "" },
	"stop":  func(s *session, a []string) string { s.node(a[0]).stopGracefully(); return "" },
	"start": func(s *session, a []string) string { s.sim.restartNode(vocab.NodeID(a[0])); return "" },
	"pause": func(s *session, a []string) string {
		n := s.node(a[0])
		n.pause()
		s.sim.schedule(s.duration(a[1]), n.resume)
		return ""
	},
	"fault": func(s *session, a []string) string {
		s.sim.vms.byName[vocab.VMID(a[0])].fault = fault(strings.Join(a[1:], ""))
		return ""
	},
	"zone": func(s *session, a []string) string { return s.setZoneLost(vocab.ZoneID(a[0]), a[1] == "lost") },
	"withdraw": func(s *session, a []string) string {
		s.node(a[1]).post(core.WithdrawKey{Key: vocab.KeyID(a[0])})
		return ""
	},
	"give": func(s *session, a []string) string {
		s.sim.issueKey(vocab.TeamID(a[0]))
		return fmt.Sprintf("key %s\n", s.sim.keys[vocab.TeamID(a[0])])
	},
	"publish": func(s *session, a []string) string {
		s.sim.publishChange(slices.Contains(a, "stale"), func(f *spec.Fleet) {
			for i := range f.Teams {
				if string(f.Teams[i].Name) == a[0] {
					f.Teams[i].UpperLimit = vocab.Slots(s.number(option(a, "limit", "")))
				}
			}
		})
		return fmt.Sprintf("revision in force %d\n", s.sim.log.state.Revision)
	},
	"wave": func(s *session, _ []string) string {
		s.sim.operatorAppend(record.WaveStarted{Operator: "operator", Wave: s.sim.log.state.Maintenance.Wave.Number + 1, UnixSeconds: s.sim.unixTime()})
		return ""
	},
	"report":  func(s *session, _ []string) string { return s.report() },
	"digests": func(s *session, _ []string) string { return s.digests() },
	"expect":  func(s *session, a []string) string { return s.expect(strings.Join(a, " ")) },
}

// setPartition cuts or restores the network between two nodes.
func (s *session) setPartition(args []string, partitioned bool) string {
	s.sim.net.partitioned[[2]vocab.NodeID{vocab.NodeID(args[0]), vocab.NodeID(args[1])}] = partitioned
	s.sim.net.partitioned[[2]vocab.NodeID{vocab.NodeID(args[1]), vocab.NodeID(args[0])}] = partitioned
	return ""
}

// setZoneLost makes all VMs and entry nodes of a zone fail, or restores its VMs and restarts
// all dead nodes.
func (s *session) setZoneLost(zone vocab.ZoneID, lost bool) string {
	if lost {
		s.sim.failZone(zone)
		return ""
	}
	for _, name := range s.sim.vms.names {
		if u := s.sim.vms.byName[name]; u.row.Zone == zone && u.row.Phase == observe.ListGone {
			s.sim.vms.restoreVM(name)
		}
	}
	for _, name := range s.sim.deadNodes() {
		s.sim.restartNode(name)
	}
	return ""
}

// report prints the number of requests since the last report by queue and result, and the
// progress of the wave.
func (s *session) report() string {
	var out strings.Builder
	requests := s.sim.requests[s.reportedRequests:]
	s.reportedRequests = len(s.sim.requests)
	for _, id := range s.queues() {
		counts := map[string]int{}
		var latencies []time.Duration
		for _, req := range requests {
			if req.service.Queue != id {
				continue
			}
			counts[s.requestResult(req)]++
			if req.finalCode == "completed" {
				latencies = append(latencies, req.answeredAt-req.sentAt)
			}
		}
		if len(counts) == 0 {
			continue
		}
		fmt.Fprintf(&out, "%s:", id)
		for _, result := range sortedKeys(counts) {
			fmt.Fprintf(&out, " %s %d", result, counts[result])
		}
		if slices.Sort(latencies); len(latencies) > 0 {
			fmt.Fprintf(&out, "; 99%% took at most %.1fs", latencies[len(latencies)*99/100].Seconds())
		}
		out.WriteString("\n")
	}
	return out.String() + s.waveReport()
}

// waveReport prints the progress of the last wave.
func (s *session) waveReport() string {
	ledger := s.sim.log.state.Maintenance
	if ledger.Wave.Number == 0 {
		return ""
	}
	maintained := 0
	for _, e := range ledger.VMs {
		if e.LastWave == ledger.Wave.Number && e.Maintenance.Stage == observe.MaintenanceNone {
			maintained++
		}
	}
	return fmt.Sprintf("wave %d: %d of %d VMs maintained, %d failed\n", ledger.Wave.Number, maintained, len(s.sim.vms.names), ledger.Wave.Failed)
}

// requestResult returns the final code and outcome of a request, or why it has none.
func (s *session) requestResult(req *request) string {
	switch {
	case req.finalCode == "completed":
		return req.finalCode
	case req.finalCode != "":
		return req.finalCode + "(" + req.outcome.String() + ")"
	case req.nodeKilled:
		return "node-killed"
	default:
		return "open"
	}
}

func (s *session) queues() []vocab.QueueID {
	var out []vocab.QueueID
	for i := range s.sim.fleet.Services {
		out = append(out, s.sim.fleet.Services[i].Queue)
	}
	return out
}

func sortedKeys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// digests prints the offset, the revision and the digest of each process's state.
func (s *session) digests() string {
	var out strings.Builder
	for _, n := range s.sim.aliveNodes(true) {
		d := n.state.Dump()
		fmt.Fprintf(&out, "%s: offset %d, revision %d, digest %s, %d members, ready %t\n",
			n.name, d.Offset, d.Revision, d.Digest, len(d.Members), d.Ready)
	}
	return out.String()
}

// expect prints figures that support an invariant. Most violations fail the session
// already at the step in which they occur.
func (s *session) expect(invariant string) string {
	sim, nonIdempotent, started, notRun := s.sim, 0, 0, 0
	for _, req := range sim.requests {
		if req.notIdempotent && req.startCount > 0 {
			nonIdempotent, started = nonIdempotent+1, started+req.startCount
		}
		if req.finalCode != "" && req.outcome == vocab.OutcomeNotRun {
			notRun++
		}
	}
	switch invariant {
	case "no team over limit":
		var out string
		for _, t := range sim.fleet.Teams {
			sim.checkTeam(t.Name)
			out += fmt.Sprintf(" %s %d/%d", t.Name, sim.maxRunning[t.Name], t.UpperLimit)
		}
		return "most running at once:" + out + "\n"
	case "no request run twice":
		return fmt.Sprintf("%d requests that are not idempotent started %d times\n", nonIdempotent, started)
	case "not-run is true":
		return fmt.Sprintf("%d answers say not-run; no upstream ran one of them\n", notRun)
	case "every request answered":
		sim.checkAnswered()
		return fmt.Sprintf("%d requests\n", len(sim.requests))
	default:
		s.t.Fatalf("unknown invariant %q", invariant)
		return ""
	}
}
