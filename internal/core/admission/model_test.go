package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

func anyTeam(vocab.TeamID) bool { return true }

// TestNothingIsLostOrDoubled applies random operations to a queue and compares it after
// each with a list of the items that must be waiting. It guards against items that are
// lost or returned twice.
func TestNothingIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Queued: rapid.IntRange(1, 30).Draw(t, "queued"), QueuedPerTeam: rapid.IntRange(1, 12).Draw(t, "per team")}
		q := New(bounds)
		for i, team := range []vocab.TeamID{"a", "b", "c"} {
			q.SetWeight(team, float64(1+i*i))
		}
		var waiting []Item // in the order of their Push
		var running []Item
		now, last := vocab.Instant(1), vocab.RequestID(0)
		drop := func(id vocab.RequestID) {
			at := slices.IndexFunc(waiting, func(it Item) bool { return it.Request == id })
			if at < 0 {
				t.Fatalf("request %d was removed twice or never pushed", id)
			}
			waiting = slices.Delete(waiting, at, at+1)
		}
		steps := map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				last++
				it := Item{
					Request: last,
					Team:    rapid.SampledFrom([]vocab.TeamID{"a", "b", "c"}).Draw(t, "team"),
					Key:     rapid.SampledFrom([]vocab.KeyID{"k", "l"}).Draw(t, "key"),
					Urgent:  rapid.Bool().Draw(t, "urgent"),
					Expires: now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "timeout ms")) * time.Millisecond),
				}
				if rapid.IntRange(0, 4).Draw(t, "delay") == 0 {
					it.NotBefore = now.Add(300 * time.Millisecond)
				}
				v := q.Push(now, it)
				if v.HasEvicted {
					drop(v.Evicted.Request)
				}
				if v.Refusal == Admitted {
					waiting = append(waiting, it)
				}
			},
			"next": func(t *rapid.T) {
				it, ok := q.Next(now, func(team vocab.TeamID) bool { return team != "c" || now%2 == 0 })
				if !ok {
					return
				}
				first := slices.IndexFunc(waiting, func(o Item) bool {
					return o.Team == it.Team && o.Urgent == it.Urgent && (o.NotBefore == 0) == (it.NotBefore == 0)
				})
				if waiting[first].Request != it.Request || it.NotBefore > now {
					t.Fatalf("%+v started before %+v", it, waiting[first])
				}
				drop(it.Request)
				it.Expires = now // from here on the time of the start, which "end" passes to Finished
				running = append(running, it)
			},
			"end": func(t *rapid.T) {
				if len(running) > 0 {
					q.Finished(now, running[0].Team, running[0].Expires)
					running = running[1:]
				}
			},
			"cancel": func(t *rapid.T) {
				id := vocab.RequestID(rapid.IntRange(0, int(last)).Draw(t, "request"))
				if q.Remove(id) {
					drop(id)
				}
			},
			"withdraw": func(t *rapid.T) {
				for _, it := range q.RemoveIf(func(it Item) bool { return it.Key == "l" }) {
					drop(it.Request)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
				for _, it := range q.Expire(now) {
					drop(it.Request)
				}
				q.Advance(now)
			},
			"weigh": func(t *rapid.T) {
				q.SetWeight("b", rapid.Float64Range(0, 9).Draw(t, "weight"))
			},
			"": func(t *rapid.T) {
				perTeam := map[vocab.TeamID]int{}
				for _, it := range waiting {
					perTeam[it.Team]++
				}
				for _, team := range []vocab.TeamID{"a", "b", "c"} {
					if n := q.Waiting(team); n != perTeam[team] || n > bounds.QueuedPerTeam {
						t.Fatalf("team %s: %d wait, want %d", team, n, perTeam[team])
					}
				}
				if q.Len() != len(waiting) || q.Len() > bounds.Queued || q.stats.running != len(running) {
					t.Fatalf("%d wait and %d run, want %d and %d", q.Len(), q.stats.running, len(waiting), len(running))
				}
				weights := 0.0
				for _, team := range q.teamList {
					weights += q.stats.countedWeight(team, team.weight)
				}
				if d := weights - q.stats.readyWeight; d > 1e-6 || d < -1e-6 {
					t.Fatalf("weights %v, want %v", q.stats.readyWeight, weights)
				}
			},
		}
		t.Repeat(steps)
	})
}

func BenchmarkPushNext(b *testing.B) {
	const teams = 570
	q := New(Bounds{Queued: 100_000, QueuedPerTeam: 100_000})
	names := make([]vocab.TeamID, teams)
	now, id := vocab.Instant(0), vocab.RequestID(0)
	for i := range names {
		names[i] = vocab.TeamID([]byte{'t', byte('a' + i/26), byte('a' + i%26)})
		q.SetWeight(names[i], float64(1+i%9))
		for range 3 {
			id++
			q.Push(now, Item{Request: id, Team: names[i], Expires: now.Add(time.Hour)})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		id++
		q.Push(now, Item{Request: id, Team: names[int(id)%teams], Expires: now.Add(time.Hour)})
		it, _ := q.Next(now, anyTeam)
		q.Finished(now, it.Team, now.Add(-time.Millisecond))
	}
}

func BenchmarkCancelWave(b *testing.B) {
	const wave = 5000
	for b.Loop() {
		q := New(Bounds{Queued: wave, QueuedPerTeam: wave})
		for id := range vocab.RequestID(wave) {
			q.Push(0, Item{Request: id, Team: "a", Expires: vocab.Instant(time.Hour)})
		}
		for id := range vocab.RequestID(wave) {
			q.Remove(id)
		}
	}
}
