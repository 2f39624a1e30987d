package world

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestSessions runs the golden sessions under testdata. docs/SCENARIOS.md
// describes the commands.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, filepath.Join("testdata", "sessions"), func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, s.run)
	})
}

// session is one script's world.
type session struct {
	t *testing.T
	w *world
	// told and reported count the notices and calls that were printed.
	told, reported int
}

// run carries out one line and prints what the nodes told before it, what the
// line itself has to say, and nothing else.
func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	words := []string{d.Cmd}
	for _, arg := range d.CmdArgs {
		if len(arg.Vals) > 0 {
			words = append(words, arg.Key+"="+strings.Join(arg.Vals, ","))
			continue
		}
		words = append(words, arg.Key)
	}
	if words[0] == "session" {
		return s.begin(words[1:])
	}
	if words[0] != "at" || len(words) < 3 {
		t.Fatalf("%s: write \"at TIME COMMAND\"", d.Pos)
	}
	s.w.run(s.duration(words[1]) - s.w.now)
	command, ok := commands[words[2]]
	if !ok {
		t.Fatalf("%s: no command %q", d.Pos, words[2])
	}
	out := s.news()
	return out + command(s, words[3:]) + s.news()
}

// begin starts a world with an example's configuration.
func (s *session) begin(words []string) string {
	fleet, err := spec.Load(filepath.Join("..", "..", "..", "examples", option(words, "config", "")))
	if err != nil {
		s.t.Fatal(err)
	}
	s.w = newWorld(s.t.Fatalf, 1, fleet)
	zones := fleet.Regions[0].Zones
	for i := range int(s.number(option(words, "nodes", "3"))) {
		s.w.start(vocab.NodeID(fmt.Sprint("node-", i+1)), zones[i%len(zones)])
	}
	for i := range fleet.Services {
		s.w.arrive(fleet.Services[i].Queue)
	}
	return fmt.Sprintf("%s: %d teams, %d VMs, %d nodes\n", fleet.Name, len(fleet.Teams), len(s.w.vms.names), len(s.w.nodes))
}

func option(words []string, name, otherwise string) string {
	for _, word := range words {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			return value
		}
	}
	return otherwise
}

func (s *session) number(text string) float64 {
	var n float64
	if _, err := fmt.Sscanf(strings.TrimPrefix(text, "x"), "%f", &n); err != nil {
		s.t.Fatalf("%q is not a number", text)
	}
	return n
}

func (s *session) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("%q is not a time", text)
	}
	return d
}

func (s *session) node(name string) *entryNode {
	n := s.w.node(vocab.NodeID(name))
	if n == nil {
		s.t.Fatalf("no process runs on %s", name)
	}
	return n
}

// news prints the notices since the last line, equal ones of several nodes as
// one, with the time of the first.
func (s *session) news() string {
	type line struct {
		at    time.Duration
		text  string
		nodes []string
	}
	var lines []*line
	for _, n := range s.w.notices[s.told:] {
		at := slices.IndexFunc(lines, func(l *line) bool {
			return l.text == n.text && n.at-l.at < 5*time.Second && !slices.Contains(l.nodes, string(n.node))
		})
		if at < 0 {
			lines = append(lines, &line{at: n.at, text: n.text})
			at = len(lines) - 1
		}
		lines[at].nodes = append(lines[at].nodes, string(n.node))
	}
	s.told = len(s.w.notices)
	var out strings.Builder
	for _, l := range lines {
		slices.Sort(l.nodes)
		fmt.Fprintf(&out, "%6.1fs %s: %s\n", l.at.Seconds(), strings.Join(l.nodes, " "), l.text)
	}
	return out.String()
}

// arrive plans the arrivals at a queue, at the rate in force.
func (w *world) arrive(queue vocab.QueueID) {
	const look = 100 * time.Millisecond
	rate := w.rates[queue]
	if rate == 0 {
		w.after(look, func() { w.arrive(queue) })
		return
	}
	w.after(min(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), look), func() {
		if w.rates[queue] > 0 {
			w.arriveOne(queue)
		}
		w.arrive(queue)
	})
}

// arriveOne sends a request of a team, drawn by share, to a node that the
// balancer sees as ready.
func (w *world) arriveOne(queue vocab.QueueID) {
	service, _ := w.fleet.Service(queue)
	takers := slices.DeleteFunc(w.living(false), func(n *entryNode) bool { return len(n.state.NotReady()) > 0 })
	if len(takers) == 0 {
		return
	}
	n := takers[w.rng.IntN(len(takers))]
	method, path := "GET", "/x"
	if w.chance(0.4) {
		method = "POST"
	}
	w.request(n, queue, w.keys[w.anyTeam(&service)], method, path, w.between(50*time.Millisecond, 350*time.Millisecond))
}

func (w *world) anyTeam(service *spec.Service) vocab.TeamID {
	total := 0
	for _, t := range w.fleet.Teams {
		if service.Admits(t.Name) {
			total += t.Share
		}
	}
	at := w.rng.IntN(max(1, total))
	for _, t := range w.fleet.Teams {
		if !service.Admits(t.Name) {
			continue
		}
		if at < t.Share {
			return t.Name
		}
		at -= t.Share
	}
	return ""
}
