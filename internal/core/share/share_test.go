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

func drawClaims(t *rapid.T) []Claim {
	var out []Claim
	for _, team := range []vocab.TeamID{"a", "b", "c", "d", "e"} {
		weight := float64(rapid.IntRange(1, 20).Draw(t, "weight"))
		limit := float64(rapid.IntRange(0, 30).Draw(t, "limit"))
		for node := range rapid.IntRange(0, 4).Draw(t, "nodes") {
			out = append(out, Claim{
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

// TestTargetsAreWeightedMaxMin checks that targets are feasible, leave nothing
// that could be used, and that an unsatisfied team has the highest part for
// its weight, so that no exchange can help it without harming one that has less.
func TestTargetsAreWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		capacity := rapid.Float64Range(0, 100).Draw(t, "capacity")
		targets := Targets(capacity, claims)
		part, demand := map[vocab.TeamID]float64{}, map[vocab.TeamID]float64{}
		most, weight := map[vocab.TeamID]float64{}, map[vocab.TeamID]float64{}
		total, usable := 0.0, 0.0
		for i, c := range claims {
			if targets[i].Slots > c.Demand+epsilon {
				t.Fatalf("%v gets more than it demands: %v", c, targets[i])
			}
			part[c.Team] += targets[i].Slots
			demand[c.Team] += c.Demand
			weight[c.Team] = c.Weight
			most[c.Team] = demand[c.Team]
			if c.Limit > 0 {
				most[c.Team] = min(demand[c.Team], c.Limit)
			}
		}
		for team := range part {
			if part[team] > most[team]+epsilon {
				t.Fatalf("team %s gets %v of at most %v", team, part[team], most[team])
			}
			total += part[team]
			usable += most[team]
		}
		if math.Abs(total-min(capacity, usable)) > epsilon {
			t.Fatalf("%v given of %v with %v usable", total, capacity, usable)
		}
		for a := range part {
			for b := range part {
				if part[a] < most[a]-epsilon && part[b]/weight[b] > part[a]/weight[a]+epsilon {
					t.Fatalf("team %s could have some of %s: %v", a, b, part)
				}
			}
		}
		for i, c := range claims {
			if math.Abs(targets[i].Slots*demand[c.Team]-part[c.Team]*c.Demand) > 1e-3 {
				t.Fatalf("not in proportion to demand: %v in %v", targets[i], part)
			}
		}
	})
}

// TestNodesAgree feeds the same reports in different orders, doubled and with
// old ones in between, and checks that the nodes' parts make one division.
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
		attained := map[vocab.TeamID]time.Duration{}
		now := vocab.Instant(0)
		for range 12 {
			now = now.Add(UpdateInterval)
			var facts []Fact
			for _, team := range []vocab.TeamID{"a", "b", "c"} {
				attained[team] += time.Duration(random.Int64N(int64(10 * time.Second)))
				for n := range nodes {
					facts = append(facts, Fact{Pool: "p", Team: team, Node: vocab.Incarnation(n), Demand: float64(random.IntN(30)), Attained: attained[team]})
				}
			}
			var parts []Part
			for _, s := range states {
				for _, i := range random.Perm(len(facts)) {
					s.Observe(now, facts[i])
					old := facts[i]
					old.Attained -= time.Second
					old.Demand = 99
					if old.Attained >= 0 {
						s.Observe(now, old)
					}
				}
				s.Update(now)
				parts = append(parts, s.Parts("p")...)
			}
			var claims []Claim
			for _, f := range facts {
				team := states[0].teams[f.Team]
				claims = append(claims, Claim{Team: f.Team, Node: f.Node, Weight: team.Weight, Demand: f.Demand, Limit: float64(team.Limit)})
			}
			for i, target := range Targets(40, claims) {
				// Claims go by team and then by node, parts by node and then by team.
				part := parts[i%nodes*teams+i/nodes]
				if part.Team != target.Team || math.Abs(part.Target-target.Slots) > epsilon {
					t.Fatalf("part %+v, want %+v", part, target)
				}
			}
		}
	})
}

// TestCorrection checks that a team which got less is owed, that a team which
// asks for little earns nothing, and that a silent node is forgotten.
func TestCorrection(t *testing.T) {
	s := New(1)
	s.SetTeams([]Team{{Name: "busy", Weight: 3}, {Name: "idle", Weight: 1}, {Name: "late", Weight: 1}})
	s.SetCapacity("p", 30)
	now := vocab.Instant(0)
	used := map[vocab.TeamID]float64{"busy": 29, "idle": 0.3, "late": 0}
	demand := map[vocab.TeamID]float64{"busy": 50, "idle": 1, "late": 50}
	s.Observe(now, Fact{Pool: "p", Team: "busy", Node: 2, Demand: 50})
	for step := range 6 {
		now = now.Add(UpdateInterval)
		for team, slots := range used {
			attained := time.Duration(slots * float64(step) * float64(time.Second))
			s.Observe(now, Fact{Pool: "p", Team: team, Node: 1, Demand: demand[team], Attained: attained})
		}
		s.Update(now)
	}
	parts := map[vocab.TeamID]Part{}
	for _, p := range s.Parts("p") {
		parts[p.Team] = p
	}
	if parts["late"].Slots <= parts["late"].Target*1.4 {
		t.Errorf("late is owed nothing: %+v", parts["late"])
	}
	if parts["busy"].Slots >= parts["busy"].Target*0.9 {
		t.Errorf("busy owes nothing: %+v", parts["busy"])
	}
	if parts["idle"].Slots != 1 || parts["idle"].Weight != 1 || s.pools["p"].owed["idle"] != 0 {
		t.Errorf("idle earned credit or lost weight: %+v", parts["idle"])
	}
	if sum := s.NodeTarget("p"); math.Abs(sum-30) > epsilon {
		t.Errorf("the corrected parts add up to %v of 30", sum)
	}
	if !s.HeldDown("p", "busy") || s.HeldDown("p", "idle") || s.Most("p") != 30 {
		t.Errorf("held down: busy %v, idle %v, most %d", s.HeldDown("p", "busy"), s.HeldDown("p", "idle"), s.Most("p"))
	}
	if parts["busy"].FleetDemand != 50 {
		t.Errorf("the silent node still counts: %+v", parts["busy"])
	}
}

// TestOwnReportIsUsedWithTheOthers checks that a node divides by its own report
// only when the other nodes have it too.
func TestOwnReportIsUsedWithTheOthers(t *testing.T) {
	s := New(1)
	s.SetCapacity("p", 30)
	now := vocab.Instant(0)
	var heard []float64
	for _, demand := range []float64{10, 20, 20} {
		now = now.Add(UpdateInterval)
		sent := s.Report(now, Fact{Pool: "p", Team: "a", Demand: demand})
		s.Update(now)
		if used := s.Parts("p")[0].Demand; len(heard) > 0 && used != heard[len(heard)-1] {
			t.Errorf("divides by %v, the others by %v", used, heard)
		}
		heard = append(heard, sent.Demand)
	}
	if heard[2] <= heard[1] || heard[1] <= 10 || heard[2] >= 20 {
		t.Errorf("reports %v are not smoothed", heard)
	}
}

func BenchmarkTargets(b *testing.B) {
	const teams, pools, nodes = 570, 74, 8
	random := rand.New(rand.NewPCG(1, 1))
	var claims []Claim
	for team := range teams {
		name := vocab.TeamID([]byte{'t', byte('a' + team/26), byte('a' + team%26)})
		for node := range nodes {
			claims = append(claims, Claim{Team: name, Node: vocab.Incarnation(node), Weight: float64(1 + team%7), Demand: random.Float64(), Limit: 3})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for range pools {
			Targets(80, claims)
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
			s.Observe(now, Fact{Pool: "p", Team: name, Node: vocab.Incarnation(node), Demand: 1})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Update(now)
	}
}
