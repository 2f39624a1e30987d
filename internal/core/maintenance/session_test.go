package maintenance

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"

	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestSessions replays scripted sessions and compares their output. Run with
// -rewrite to record the current output.
//
// Commands: nodes N; wave; pass DURATION; lose-zone ZONE; kill VM; revive VM;
// bad-image VM; lose KIND...; answers lost|kept; log up|down; pause NODE;
// wake NODE; keep N; demand SLOTS; resume; status; explain VM.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			for _, line := range append([]string{d.Cmd + " " + joinArguments(d)}, strings.Split(d.Input, "\n")...) {
				if words := strings.Fields(line); len(words) > 0 {
					s.run(t, words[0], strings.Join(words[1:], " "))
				}
			}
			return s.out.String()
		})
	})
}

func joinArguments(d *datadriven.TestData) string {
	var words []string
	for _, a := range d.CmdArgs {
		words = append(words, a.String())
	}
	return strings.Join(words, " ")
}

type session struct {
	sim *simulation
	out strings.Builder
}

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(&s.out, format+"\n", args...)
}

func (s *session) newSimulation(t *testing.T, nodes int) {
	s.sim = newSimulation(t.Fatalf, nodes)
	s.sim.trace = func(line string) {
		s.printf("%6s %s", time.Duration(s.sim.now).Truncate(time.Second), line)
	}
}

func (s *session) run(t *testing.T, cmd, arg string) {
	sim := s.sim
	switch cmd {
	case "nodes":
		n, _ := strconv.Atoi(arg)
		s.newSimulation(t, n)
	case "wave":
		sim.appendRecord(record.WaveStarted{Operator: "op", Wave: sim.ledger.Wave.Number + 1, UnixSeconds: int64(sim.now / 1e9)})
	case "pass":
		d, _ := time.ParseDuration(arg)
		for end := sim.now.Add(d); sim.now < end; {
			sim.tick(5 * time.Second)
			sim.checkAgreement()
		}
	case "lose-zone":
		for _, name := range sim.names {
			v := sim.vms[name]
			v.dead = v.dead || string(v.row.Zone) == arg
		}
	case "kill", "bad-image":
		v := sim.vms[vocab.VMID(arg)]
		v.dead, v.badImage = v.dead || cmd == "kill", cmd == "bad-image"
	case "revive":
		v := sim.vms[vocab.VMID(arg)]
		v.dead, v.badImage, v.rebootEndsAt = false, false, 0
		v.row.Incarnation++
		v.row.Phase = observe.ListLive
	case "lose":
		for i, kind := range []string{"drain", "reboot", "assign"} {
			sim.loseOrders[i] = strings.Contains(arg, kind)
		}
	case "answers":
		sim.loseReplies = arg == "lost"
	case "log":
		sim.logDown = arg == "down"
	case "pause", "wake":
		s.setPaused(arg, cmd == "pause")
	case "keep":
		n, _ := strconv.Atoi(arg)
		sim.setMinReady(n)
	case "demand":
		n, _ := strconv.Atoi(arg)
		sim.demandSlots["a"] = vocab.Slots(n)
	case "resume":
		sim.appendRecord(record.WaveResumed{Operator: "op", Wave: sim.ledger.Wave.Number, Paused: sim.ledger.Wave.PauseOffset})
	case "status":
		s.printStatus()
	case "explain":
		s.printf("%s", sim.nodes[0].controller.Explain(vocab.VMID(arg)))
	default:
		t.Fatalf("unknown command %q", cmd)
	}
}

func (s *session) setPaused(node string, paused bool) {
	for _, n := range s.sim.nodes {
		if string(n.name) == node {
			n.paused = paused
			if !paused {
				s.sim.runNode(n, false) // acts before it reads the log
			}
		}
	}
}

func (s *session) printStatus() {
	n := s.sim.nodes[0]
	st := n.controller.Status()
	s.printf("owner %s epoch %d, wave %d: done %d due %d under way %d missing %d %s",
		st.Owner.Node, st.Owner.Epoch, st.Wave.Number, st.Wave.Done, st.Wave.Due, st.Wave.InProgress, st.Wave.Missing, st.Wave.PauseReason)
	for _, p := range st.Pools {
		s.printf("pool %-6s ready %d keep %d held %d incoming %d wanted %d", p.Pool, p.Ready, p.Keep, p.Held, p.Incoming, p.Wanted)
	}
	for _, short := range st.Shortfalls {
		s.printf("shortage: %s", short.Reason)
	}
	digest, _ := json.Marshal(n.ledger)
	s.printf("ledger %016x", xxhash.Sum64(digest))
}
