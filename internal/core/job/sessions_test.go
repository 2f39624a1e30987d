package job

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var rewriteGolden = flag.Bool("rewrite", false, "rewrite the golden files of the sessions")

// sessions are simulations whose log lines are compared with golden files in testdata.
// Each covers one sequence of decisions by the state machines of all nodes.
var sessions = map[string]func(sim *simulation){
	"no-faults": func(sim *simulation) {
		sim.submit(Spec{Steps: []Step{
			{Count: 2, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 300},
			{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 300, After: []int{0}},
		}})
		sim.run(3 * time.Second)
	},
	"cancel": func(sim *simulation) {
		id := sim.submit(Spec{Steps: []Step{{Count: 2, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 60_000}}})
		sim.run(time.Second)
		sim.cancel(id)
		sim.run(3 * time.Second)
	},
	"owner-lost": func(sim *simulation) {
		sim.submit(Spec{Steps: []Step{{Count: 2, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 4000}}})
		sim.run(time.Second)
		for _, n := range sim.nodes {
			if n.state.Owning() {
				n.kill()
			}
		}
		sim.run(8 * time.Second)
	},
	"worker-unreachable": func(sim *simulation) {
		sim.submit(Spec{Steps: []Step{{Count: 1, Need: Resources{CPU: 1000, Memory: 64}, EstimateMS: 2000}}})
		sim.run(time.Second)
		for _, id := range sim.workerIDs {
			if len(sim.workers[id].runs) > 0 {
				sim.workers[id].unreachable = true
			}
		}
		sim.run(12 * time.Second)
	},
	"owner-resigned": func(sim *simulation) {
		for _, n := range sim.nodes {
			if n.state.Owning() {
				n.post(n.incarnation, Stopping{})
			}
		}
		sim.run(2 * time.Second)
	},
}

func TestGoldenSessions(t *testing.T) {
	for name, play := range sessions {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim := newSimulation(1, 3, 3, faults{})
			var lines []string
			sim.trace = func(line string) {
				if !strings.Contains(line, LogPoolState.String()) {
					lines = append(lines, line)
				}
			}
			sim.run(3 * time.Second)
			play(sim)
			sim.report(t)
			got := strings.Join(lines, "\n") + "\n"
			path := filepath.Join("testdata", "sessions", name+".golden")
			if *rewriteGolden {
				g.Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(gomega.Succeed())
				g.Expect(os.WriteFile(path, []byte(got), 0o600)).To(gomega.Succeed())
			}
			want, err := os.ReadFile(path)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(gomega.Equal(string(want)))
		})
	}
}
