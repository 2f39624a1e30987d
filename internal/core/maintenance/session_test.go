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

// TestSessions replays whole sessions. Run with -rewrite to write what is seen.
//
// Commands: nodes N; wave; pass DURATION; lose-zone ZONE; kill VM; revive VM;
// bad-image VM; lose KIND...; answers lost|kept; log up|down; pause NODE;
// wake NODE; keep N; demand SLOTS; resume; status; explain VM.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			for _, line := range append([]string{d.Cmd + " " + argument(d)}, strings.Split(d.Input, "\n")...) {
				if words := strings.Fields(line); len(words) > 0 {
					s.run(t, words[0], strings.Join(words[1:], " "))
				}
			}
			return s.out.String()
		})
	})
}

func argument(d *datadriven.TestData) string {
	var words []string
	for _, a := range d.CmdArgs {
		words = append(words, a.String())
	}
	return strings.Join(words, " ")
}

type session struct {
	w   *world
	out strings.Builder
}

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(&s.out, format+"\n", args...)
}

func (s *session) start(t *testing.T, nodes int) {
	s.w = newWorld(t.Fatalf, nodes)
	s.w.trace = func(line string) {
		s.printf("%6s %s", time.Duration(s.w.now).Truncate(time.Second), line)
	}
}

func (s *session) run(t *testing.T, cmd, arg string) {
	w := s.w
	switch cmd {
	case "nodes":
		n, _ := strconv.Atoi(arg)
		s.start(t, n)
	case "wave":
		w.append(record.WaveStarted{Operator: "op", Wave: w.truth.Wave.Number + 1, At: int64(w.now / 1e9)})
	case "pass":
		d, _ := time.ParseDuration(arg)
		for end := w.now.Add(d); w.now < end; {
			w.tick(5 * time.Second)
			w.checkAgreement()
		}
	case "lose-zone":
		for _, name := range w.names {
			v := w.vms[name]
			v.dead = v.dead || string(v.row.Zone) == arg
		}
	case "kill", "bad-image":
		v := w.vms[vocab.VMID(arg)]
		v.dead, v.badImage = v.dead || cmd == "kill", cmd == "bad-image"
	case "revive":
		v := w.vms[vocab.VMID(arg)]
		v.dead, v.badImage, v.backAt = false, false, 0
		v.row.Incarnation++
		v.row.Phase = observe.ListLive
	case "lose":
		for i, kind := range []string{"drain", "reboot", "assign"} {
			w.loseOrder[i] = strings.Contains(arg, kind)
		}
	case "answers":
		w.loseAnswer = arg == "lost"
	case "log":
		w.logDown = arg == "down"
	case "pause", "wake":
		s.pause(arg, cmd == "pause")
	case "keep":
		n, _ := strconv.Atoi(arg)
		w.setKeep(n)
	case "demand":
		n, _ := strconv.Atoi(arg)
		w.slots["a"] = vocab.Slots(n)
	case "resume":
		w.append(record.WaveResumed{Operator: "op", Wave: w.truth.Wave.Number, Paused: w.truth.Wave.Paused})
	case "status":
		s.status()
	case "explain":
		s.printf("%s", w.nodes[0].c.Explain(vocab.VMID(arg)))
	default:
		t.Fatalf("unknown command %q", cmd)
	}
}

func (s *session) pause(node string, paused bool) {
	for _, n := range s.w.nodes {
		if string(n.name) == node {
			n.paused = paused
			if !paused {
				s.w.run(n, false) // acts before it reads
			}
		}
	}
}

func (s *session) status() {
	n := s.w.nodes[0]
	st := n.c.Status()
	s.printf("owner %s epoch %d, wave %d: done %d due %d under way %d missing %d %s",
		st.Owner.Node, st.Owner.Epoch, st.Wave.Number, st.Wave.Done, st.Wave.Due, st.Wave.Under, st.Wave.Missing, st.Wave.Reason)
	for _, p := range st.Pools {
		s.printf("pool %-6s ready %d keep %d held %d incoming %d wanted %d", p.Pool, p.Ready, p.Keep, p.Held, p.Incoming, p.Wanted)
	}
	for _, short := range st.Shortages {
		s.printf("shortage: %s", short.Reason)
	}
	digest, _ := json.Marshal(n.ledger)
	s.printf("ledger %016x", xxhash.Sum64(digest))
}
