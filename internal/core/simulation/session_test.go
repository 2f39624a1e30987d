package simulation

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

// TestSessions runs the session scripts under testdata and compares their output.
// docs/SCENARIOS.md describes the commands.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, filepath.Join("testdata", "sessions"), func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, s.run)
	})
}

// session runs one script against a simulation.
type session struct {
	t   *testing.T
	sim *simulation
	// printedEvents counts the log events that were printed, reportedRequests the requests
	// that earlier reports included.
	printedEvents, reportedRequests int
}

// run advances to the time of a line and carries out its command. It returns the log events
// before the command, the command's output and the log events of the command.
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
		return s.start(words[1:])
	}
	if words[0] != "at" || len(words) < 3 {
		t.Fatalf("%s: the line is not \"at TIME COMMAND\"", d.Pos)
	}
	s.sim.advance(s.duration(words[1]) - s.sim.now)
	command, ok := commands[words[2]]
	if !ok {
		t.Fatalf("%s: unknown command %q", d.Pos, words[2])
	}
	eventsBefore := s.newLogEvents()
	return eventsBefore + command(s, words[3:]) + s.newLogEvents()
}

// start starts a simulation with the configuration of an example.
func (s *session) start(words []string) string {
	fleet, err := spec.Load(filepath.Join("..", "..", "..", "examples", option(words, "config", "")))
	if err != nil {
		s.t.Fatal(err)
	}
	s.sim = newSimulation(s.t.Fatalf, 1, fleet)
	zones := fleet.Regions[0].Zones
	for i := range int(s.number(option(words, "nodes", "3"))) {
		s.sim.startNode(vocab.NodeID(fmt.Sprint("node-", i+1)), zones[i%len(zones)])
	}
	for i := range fleet.Services {
		s.sim.scheduleArrivals(fleet.Services[i].Queue)
	}
	return fmt.Sprintf("%s: %d teams, %d VMs, %d nodes\n", fleet.Name, len(fleet.Teams), len(s.sim.vms.names), len(s.sim.nodes))
}

// option returns the value of the argument name=VALUE, or defaultValue without one.
func option(words []string, name, defaultValue string) string {
	for _, word := range words {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			return value
		}
	}
	return defaultValue
}

// number parses a number that may have the prefix x.
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
		s.t.Fatalf("%q is not a duration", text)
	}
	return d
}

// node returns the running process of a node.
func (s *session) node(name string) *entryNode {
	n := s.sim.node(vocab.NodeID(name))
	if n == nil {
		s.t.Fatalf("no process runs on %s", name)
	}
	return n
}

// newLogEvents returns the log events since its last call. Events with the same text from
// several nodes within 5 s are one line with the time of the first.
func (s *session) newLogEvents() string {
	type line struct {
		at    time.Duration
		text  string
		nodes []string
	}
	var lines []*line
	for _, e := range s.sim.logEvents[s.printedEvents:] {
		i := slices.IndexFunc(lines, func(l *line) bool {
			return l.text == e.text && e.at-l.at < 5*time.Second && !slices.Contains(l.nodes, string(e.node))
		})
		if i < 0 {
			lines = append(lines, &line{at: e.at, text: e.text})
			i = len(lines) - 1
		}
		lines[i].nodes = append(lines[i].nodes, string(e.node))
	}
	s.printedEvents = len(s.sim.logEvents)
	var out strings.Builder
	for _, l := range lines {
		slices.Sort(l.nodes)
		fmt.Fprintf(&out, "%6.1fs %s: %s\n", l.at.Seconds(), strings.Join(l.nodes, " "), l.text)
	}
	return out.String()
}

// scheduleArrivals schedules the next arrival at a queue with the current rate, and itself
// again. It reads the rate at least every 100 ms.
func (sim *simulation) scheduleArrivals(queue vocab.QueueID) {
	const maxInterval = 100 * time.Millisecond
	rate := sim.arrivalRates[queue]
	if rate == 0 {
		sim.schedule(maxInterval, func() { sim.scheduleArrivals(queue) })
		return
	}
	sim.schedule(min(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), maxInterval), func() {
		if sim.arrivalRates[queue] > 0 {
			sim.sendArrival(queue)
		}
		sim.scheduleArrivals(queue)
	})
}

// sendArrival sends a request to a random node that reports itself as ready. The team is
// drawn in proportion to the shares.
func (sim *simulation) sendArrival(queue vocab.QueueID) {
	service, _ := sim.fleet.Service(queue)
	accepting := slices.DeleteFunc(sim.aliveNodes(false), func(n *entryNode) bool { return len(n.state.NotReady()) > 0 })
	if len(accepting) == 0 {
		return
	}
	n := accepting[sim.rng.IntN(len(accepting))]
	method, path := "GET", "/x"
	if sim.chance(0.4) {
		method = "POST"
	}
	sim.sendRequest(n, queue, sim.keys[sim.drawTeam(&service)], method, path, sim.randomDuration(50*time.Millisecond, 350*time.Millisecond))
}

// drawTeam draws one of the teams that a service admits, in proportion to their shares.
func (sim *simulation) drawTeam(service *spec.Service) vocab.TeamID {
	total := 0
	for _, t := range sim.fleet.Teams {
		if service.Admits(t.Name) {
			total += t.Share
		}
	}
	rest := sim.rng.IntN(max(1, total))
	for _, t := range sim.fleet.Teams {
		if !service.Admits(t.Name) {
			continue
		}
		if rest < t.Share {
			return t.Name
		}
		rest -= t.Share
	}
	return ""
}
