package world

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

// commands are what a session can do at a time. The words after the command's
// name are its arguments.
var commands = map[string]func(*session, []string) string{
	"load": func(s *session, a []string) string {
		s.w.rates[vocab.QueueID(option(a, "queue", ""))] = s.number(option(a, "rate", "0"))
		return ""
	},
	"spike": func(s *session, a []string) string {
		queue, times := vocab.QueueID(option(a, "queue", "")), s.number(a[1])
		mean := s.w.rates[queue]
		s.w.rates[queue] = mean * times
		s.w.after(s.duration(a[3]), func() { s.w.rates[queue] = mean })
		return ""
	},
	"log":   func(s *session, a []string) string { s.w.log.down = a[0] == "down"; return "" },
	"list":  func(s *session, a []string) string { s.w.vms.frozen = a[0] == "frozen"; s.w.vms.show(); return "" },
	"cut":   func(s *session, a []string) string { return s.cut(a, true) },
	"mend":  func(s *session, a []string) string { return s.cut(a, false) },
	"kill":  func(s *session, a []string) string { s.node(a[0]).kill(); return "" },
	"stop":  func(s *session, a []string) string { s.node(a[0]).stopGracefully(); return "" },
	"start": func(s *session, a []string) string { s.w.restart(vocab.NodeID(a[0])); return "" },
	"pause": func(s *session, a []string) string {
		n := s.node(a[0])
		n.pause()
		s.w.after(s.duration(a[1]), n.resume)
		return ""
	},
	"fault": func(s *session, a []string) string {
		s.w.vms.byName[vocab.VMID(a[0])].fault = fault(strings.Join(a[1:], ""))
		return ""
	},
	"zone": func(s *session, a []string) string { return s.zone(vocab.ZoneID(a[0]), a[1] == "lost") },
	"withdraw": func(s *session, a []string) string {
		s.node(a[1]).post(core.WithdrawKey{Key: vocab.KeyID(a[0])})
		return ""
	},
	"give": func(s *session, a []string) string {
		s.w.giveKey(vocab.TeamID(a[0]))
		return fmt.Sprintf("key %s\n", s.w.keys[vocab.TeamID(a[0])])
	},
	"publish": func(s *session, a []string) string {
		s.w.change(slices.Contains(a, "stale"), func(f *spec.Fleet) {
			for i := range f.Teams {
				if string(f.Teams[i].Name) == a[0] {
					f.Teams[i].UpperLimit = vocab.Slots(s.number(option(a, "limit", "")))
				}
			}
		})
		return fmt.Sprintf("revision in force %d\n", s.w.log.truth.Revision)
	},
	"wave": func(s *session, _ []string) string {
		s.w.operatorAppend(record.WaveStarted{Operator: "operator", Wave: s.w.log.truth.Maintenance.Wave.Number + 1, UnixSeconds: s.w.unix()})
		return ""
	},
	"report":  func(s *session, _ []string) string { return s.report() },
	"digests": func(s *session, _ []string) string { return s.digests() },
	"expect":  func(s *session, a []string) string { return s.expect(strings.Join(a, " ")) },
}

func (s *session) cut(a []string, cut bool) string {
	s.w.net.cut[[2]vocab.NodeID{vocab.NodeID(a[0]), vocab.NodeID(a[1])}] = cut
	s.w.net.cut[[2]vocab.NodeID{vocab.NodeID(a[1]), vocab.NodeID(a[0])}] = cut
	return ""
}

// zone makes all VMs and entry nodes of a zone fail, or brings them back.
func (s *session) zone(zone vocab.ZoneID, lost bool) string {
	if lost {
		s.w.loseZone(zone)
		return ""
	}
	for _, name := range s.w.vms.names {
		if u := s.w.vms.byName[name]; u.row.Zone == zone && u.row.Phase == observe.ListGone {
			s.w.vms.comeBack(name)
		}
	}
	for _, name := range s.w.deadNames() {
		s.w.restart(name)
	}
	return ""
}

// report counts what became of the requests since the last report, queue by
// queue, and how far a wave has come.
func (s *session) report() string {
	var out strings.Builder
	calls := s.w.calls[s.reported:]
	s.reported = len(s.w.calls)
	for _, id := range s.queues() {
		counts := map[string]int{}
		var took []time.Duration
		for _, c := range calls {
			if c.service.Queue != id {
				continue
			}
			counts[s.end(c)]++
			if c.final == "completed" {
				took = append(took, c.ended-c.at)
			}
		}
		if len(counts) == 0 {
			continue
		}
		fmt.Fprintf(&out, "%s:", id)
		for _, end := range sortedKeys(counts) {
			fmt.Fprintf(&out, " %s %d", end, counts[end])
		}
		if slices.Sort(took); len(took) > 0 {
			fmt.Fprintf(&out, "; 99%% took at most %.1fs", took[len(took)*99/100].Seconds())
		}
		out.WriteString("\n")
	}
	return out.String() + s.wave()
}

func (s *session) wave() string {
	ledger := s.w.log.truth.Maintenance
	if ledger.Wave.Number == 0 {
		return ""
	}
	done := 0
	for _, e := range ledger.VMs {
		if e.LastWave == ledger.Wave.Number && e.Maintenance.Stage == observe.MaintenanceNone {
			done++
		}
	}
	return fmt.Sprintf("wave %d: %d of %d VMs maintained, %d failed\n", ledger.Wave.Number, done, len(s.w.vms.names), ledger.Wave.Failed)
}

func (s *session) end(c *call) string {
	switch {
	case c.final == "completed":
		return c.final
	case c.final != "":
		return c.final + "(" + c.outcome.String() + ")"
	case c.orphaned:
		return "node-killed"
	default:
		return "open"
	}
}

func (s *session) queues() []vocab.QueueID {
	var out []vocab.QueueID
	for i := range s.w.fleet.Services {
		out = append(out, s.w.fleet.Services[i].Queue)
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

// digests prints how far each process has folded and the digest of its state.
func (s *session) digests() string {
	var out strings.Builder
	for _, n := range s.w.living(true) {
		d := n.state.Dump()
		fmt.Fprintf(&out, "%s: offset %d, revision %d, digest %s, %d members, ready %t\n",
			n.name, d.Offset, d.Revision, d.Digest, len(d.Members), d.Ready)
	}
	return out.String()
}

// expect prints the evidence for a promise. A broken one has failed the
// session before, at the step that broke it.
func (s *session) expect(promise string) string {
	w, once, started, notRun := s.w, 0, 0, 0
	for _, c := range w.calls {
		if c.once && c.starts > 0 {
			once, started = once+1, started+c.starts
		}
		if c.final != "" && c.outcome == vocab.OutcomeNotRun {
			notRun++
		}
	}
	switch promise {
	case "no team over limit":
		var out string
		for _, t := range w.fleet.Teams {
			w.checkTeam(t.Name)
			out += fmt.Sprintf(" %s %d/%d", t.Name, w.most[t.Name], t.UpperLimit)
		}
		return "most running at once:" + out + "\n"
	case "no request run twice":
		return fmt.Sprintf("%d requests that are not idempotent started %d times\n", once, started)
	case "not-run is true":
		return fmt.Sprintf("%d answers say not-run; no upstream ran one of them\n", notRun)
	case "every request answered":
		w.checkAnswered()
		return fmt.Sprintf("%d requests\n", len(w.calls))
	default:
		s.t.Fatalf("nothing checks %q", promise)
		return ""
	}
}
