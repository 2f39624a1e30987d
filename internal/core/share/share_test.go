package share

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const epsilon = 1e-6

func drawDemands(t *rapid.T) []NodeDemand {
	var out []NodeDemand
	for _, team := range []vocab.TeamID{"a", "b", "c", "d", "e"} {
		weight := float64(rapid.IntRange(1, 20).Draw(t, "weight"))
		limit := float64(rapid.IntRange(0, 30).Draw(t, "limit"))
		for node := range rapid.IntRange(0, 4).Draw(t, "nodes") {
			out = append(out, NodeDemand{
				Team:   team,
				Node:   vocab.Incarnation(node),
				Weight: weight,
				Demand: rapid.Float64Range(0, 40).Draw(t, "demand"),
				Limit:  limit,
			})
		}
	}
	return out
}

// TestTargetsAreWeightedMaxMin checks that targets are feasible, that they leave no
// usable capacity, and that no team gets more per weight than an unsatisfied one, so
// that no exchange can help a team without harming one that has less.
func TestTargetsAreWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		capacity := rapid.Float64Range(0, 100).Draw(t, "capacity")
		targets := Targets(capacity, demands)
		allocated, demand := map[vocab.TeamID]float64{}, map[vocab.TeamID]float64{}
		limited, weight := map[vocab.TeamID]float64{}, map[vocab.TeamID]float64{}
		total, usable := 0.0, 0.0
		for i, c := range demands {
			if targets[i].Slots > c.Demand+epsilon {
				t.Fatalf("%v gets more than it demands: %v", c, targets[i])
			}
			allocated[c.Team] += targets[i].Slots
			demand[c.Team] += c.Demand
			weight[c.Team] = c.Weight
			limited[c.Team] = demand[c.Team]
			if c.Limit > 0 {
				limited[c.Team] = min(demand[c.Team], c.Limit)
			}
		}
		for team := range allocated {
			if allocated[team] > limited[team]+epsilon {
				t.Fatalf("team %s gets %v, more than its limited demand %v", team, allocated[team], limited[team])
			}
			total += allocated[team]
			usable += limited[team]
		}
		if math.Abs(total-min(capacity, usable)) > epsilon {
			t.Fatalf("%v allocated of %v, with %v usable", total, capacity, usable)
		}
		for a := range allocated {
			for b := range allocated {
				if allocated[a] < limited[a]-epsilon && allocated[b]/weight[b] > allocated[a]/weight[a]+epsilon {
					t.Fatalf("team %s is unsatisfied while %s gets more per weight: %v", a, b, allocated)
				}
			}
		}
		for i, c := range demands {
			if math.Abs(targets[i].Slots*demand[c.Team]-allocated[c.Team]*c.Demand) > 1e-3 {
				t.Fatalf("not in proportion to demand: %v in %v", targets[i], allocated)
			}
		}
	})
}

// TestNodesAgree gives all nodes the same reports in different orders, mixed with
// outdated ones, and checks that their allocations together are the division that
// Targets computes.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes, teams = 3, 3
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		states := make([]*State, nodes)
		for n := range states {
			states[n] = New(vocab.Incarnation(n))
			states[n].SetTeams([]Team{{Name: "a", Weight: 3}, {Name: "b", Weight: 2, Limit: 20}, {Name: "c", Weight: 1}})
			states[n].SetCapacity("p", 40)
		}
		service := map[vocab.TeamID]time.Duration{}
		now := vocab.Instant(0)
		for range 12 {
			now = now.Add(UpdateInterval)
			var reports []DemandReport
			for _, team := range []vocab.TeamID{"a", "b", "c"} {
				service[team] += time.Duration(random.Int64N(int64(10 * time.Second)))
				for n := range nodes {
					reports = append(reports, DemandReport{Pool: "p", Team: team, Node: vocab.Incarnation(n), Demand: float64(random.IntN(30)), AccumulatedService: service[team]})
				}
			}
			var allocations []Allocation
			for _, s := range states {
				for _, i := range random.Perm(len(reports)) {
					s.Observe(now, reports[i])
					outdated := reports[i]
					outdated.AccumulatedService -= time.Second
					outdated.Demand = 99
					if outdated.AccumulatedService >= 0 {
						s.Observe(now, outdated)
					}
				}
				s.Update(now)
				allocations = append(allocations, s.Allocations("p")...)
			}
			var demands []NodeDemand
			for _, r := range reports {
				team := states[0].teams[r.Team]
				demands = append(demands, NodeDemand{Team: r.Team, Node: r.Node, Weight: team.Weight, Demand: r.Demand, Limit: float64(team.Limit)})
			}
			for i, target := range Targets(40, demands) {
				// Targets are sorted by team, then node; allocations by node, then team.
				allocation := allocations[i%nodes*teams+i/nodes]
				if allocation.Team != target.Team || math.Abs(allocation.TargetSlots-target.Slots) > epsilon {
					t.Fatalf("allocation %+v, want %+v", allocation, target)
				}
			}
		}
	})
}

// TestCorrection checks that a team that received less than its target is compensated,
// that a team with little demand gets no deficit, and that reports of a node that stops
// reporting expire.
func TestCorrection(t *testing.T) {
	s := New(1)
	s.SetTeams([]Team{{Name: "busy", Weight: 3}, {Name: "idle", Weight: 1}, {Name: "late", Weight: 1}})
	s.SetCapacity("p", 30)
	now := vocab.Instant(0)
	usedSlots := map[vocab.TeamID]float64{"busy": 29, "idle": 0.3, "late": 0}
	demand := map[vocab.TeamID]float64{"busy": 50, "idle": 1, "late": 50}
	s.Observe(now, DemandReport{Pool: "p", Team: "busy", Node: 2, Demand: 50})
	for step := range 6 {
		now = now.Add(UpdateInterval)
		for team, slots := range usedSlots {
			service := time.Duration(slots * float64(step) * float64(time.Second))
			s.Observe(now, DemandReport{Pool: "p", Team: team, Node: 1, Demand: demand[team], AccumulatedService: service})
		}
		s.Update(now)
	}
	allocations := map[vocab.TeamID]Allocation{}
	for _, a := range s.Allocations("p") {
		allocations[a.Team] = a
	}
	if allocations["late"].CorrectedSlots <= allocations["late"].TargetSlots*1.4 {
		t.Errorf("late is not compensated for its deficit: %+v", allocations["late"])
	}
	if allocations["busy"].CorrectedSlots >= allocations["busy"].TargetSlots*0.9 {
		t.Errorf("busy is not reduced for its excess service: %+v", allocations["busy"])
	}
	if allocations["idle"].CorrectedSlots != 1 || allocations["idle"].Weight != 1 || s.pools["p"].deficits["idle"] != 0 {
		t.Errorf("idle has a deficit or lost weight: %+v", allocations["idle"])
	}
	if sum := s.NodeTarget("p"); math.Abs(sum-30) > epsilon {
		t.Errorf("the corrected targets add up to %v, want 30", sum)
	}
	if !s.Constrained("p", "busy") || s.Constrained("p", "idle") || s.MaxConstrainedSlots("p") != 30 {
		t.Errorf("constrained: busy %v, idle %v; slot bound %d", s.Constrained("p", "busy"), s.Constrained("p", "idle"), s.MaxConstrainedSlots("p"))
	}
	if allocations["busy"].FleetDemand != 50 {
		t.Errorf("the expired report still counts: %+v", allocations["busy"])
	}
}

// TestOwnReportIsUsedOneUpdateLater checks that a node uses its own report only once
// the other nodes have received it too, and that reports are smoothed.
func TestOwnReportIsUsedOneUpdateLater(t *testing.T) {
	s := New(1)
	s.SetCapacity("p", 30)
	now := vocab.Instant(0)
	var sentDemands []float64
	for _, demand := range []float64{10, 20, 20} {
		now = now.Add(UpdateInterval)
		sent := s.Report(now, DemandReport{Pool: "p", Team: "a", Demand: demand})
		s.Update(now)
		if used := s.Allocations("p")[0].Demand; len(sentDemands) > 0 && used != sentDemands[len(sentDemands)-1] {
			t.Errorf("uses its own demand %v, the other nodes received %v", used, sentDemands)
		}
		sentDemands = append(sentDemands, sent.Demand)
	}
	if sentDemands[2] <= sentDemands[1] || sentDemands[1] <= 10 || sentDemands[2] >= 20 {
		t.Errorf("reports %v are not smoothed", sentDemands)
	}
}

func BenchmarkTargets(b *testing.B) {
	const teams, pools, nodes = 570, 74, 8
	random := rand.New(rand.NewPCG(1, 1))
	var demands []NodeDemand
	for team := range teams {
		name := vocab.TeamID([]byte{'t', byte('a' + team/26), byte('a' + team%26)})
		for node := range nodes {
			demands = append(demands, NodeDemand{Team: name, Node: vocab.Incarnation(node), Weight: float64(1 + team%7), Demand: random.Float64(), Limit: 3})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for range pools {
			Targets(80, demands)
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	const teams, nodes = 570, 8
	s := New(0)
	s.SetCapacity("p", 80)
	now := vocab.Instant(0)
	for team := range teams {
		name := vocab.TeamID([]byte{'t', byte('a' + team/26), byte('a' + team%26)})
		s.teams[name] = Team{Name: name, Weight: float64(1 + team%7)}
		for node := range nodes {
			s.Observe(now, DemandReport{Pool: "p", Team: name, Node: vocab.Incarnation(node), Demand: 1})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Update(now)
	}
}
