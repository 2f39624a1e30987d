package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const slots = 8

// drive sends attempts to ten VMs of three zones for a time and counts the
// attempts of each. Attempts take 100 ms, or 1 ms on a VM that fails.
func drive(h *Health, start vocab.Instant, steps int, fails func(vm int) bool) [10]int {
	type run struct {
		vm   int
		ends vocab.Instant
	}
	var sent [10]int
	var running []run
	for step := range steps {
		now := start.Add(time.Duration(step) * time.Millisecond)
		kept := running[:0]
		for _, r := range running {
			if r.ends > now {
				kept = append(kept, r)
				continue
			}
			h.Ended(now, key(r.vm), fails(r.vm), slots)
		}
		running = kept
		for len(running) < 75 {
			var candidates []Candidate
			for vm := range 10 {
				st := h.Standing(now, key(vm))
				c := Candidate{Zone: zone(vm), Free: slots - st.Running, Load: st.Running, Slots: slots, Avoided: st.Avoided}
				if st.Bounded {
					c.Free = min(c.Free, st.Room)
				}
				candidates = append(candidates, c)
			}
			vm, ok := Choose(candidates, "z0", uint64(step))
			if !ok {
				break
			}
			took := 100 * time.Millisecond
			if fails(vm) {
				took = time.Millisecond
			}
			sent[vm]++
			h.Started(now, key(vm))
			running = append(running, run{vm: vm, ends: now.Add(took)})
		}
	}
	return sent
}

func key(vm int) Key { return Key{VM: vocab.VMID(rune('a' + vm))} }

func zone(vm int) vocab.ZoneID { return vocab.ZoneID("z" + string(rune('0'+vm%3))) }

func TestVMThatFailsEverythingGetsLittle(t *testing.T) {
	h := NewHealth()
	sent := drive(h, 0, 10_000, func(vm int) bool { return vm == 3 })
	if sent[3] > 100 {
		t.Errorf("the failing VM got %d of %v", sent[3], sent)
	}
	sent = drive(h, vocab.Instant(70*time.Second), 5_000, func(int) bool { return false })
	if sent[3] < 200 {
		t.Errorf("the mended VM got only %d of %v", sent[3], sent)
	}
}

func TestFailureOfAllExcludesNone(t *testing.T) {
	h := NewHealth()
	drive(h, 0, 5_000, func(int) bool { return true })
	for vm := range 10 {
		if st := h.Standing(vocab.Instant(5*time.Second), key(vm)); st.Bounded {
			t.Errorf("VM %d is excluded: %+v", vm, st)
		}
	}
}

// TestChoice checks what must hold of the chosen candidate, the bound on the
// own zone's load, and that choosing does not allocate.
func TestChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		candidates := make([]Candidate, random.IntN(12))
		for i := range candidates {
			load := vocab.Slots(random.IntN(slots + 1))
			candidates[i] = Candidate{Zone: zone(random.IntN(3)), Free: vocab.Slots(random.IntN(3)), Load: load, Slots: slots, Avoided: random.IntN(4) == 0}
		}
		turn := random.Uint64()
		at, ok := 0, false
		if n := testing.AllocsPerRun(1, func() { at, ok = Choose(candidates, "z0", turn) }); n != 0 {
			t.Fatalf("%v allocations", n)
		}
		for i, c := range candidates {
			if c.Free <= 0 {
				continue
			}
			if !ok {
				t.Fatalf("none chosen, but %d is free", i)
			}
			got := candidates[at]
			if got.Free <= 0 || got.Avoided && !c.Avoided {
				t.Fatalf("%+v chosen before %+v", got, c)
			}
			if got.Avoided == c.Avoided && float64(got.Load-c.Load) > zonePreference*slots {
				t.Fatalf("the zone is overloaded: %+v before %+v", got, c)
			}
			if got.Avoided == c.Avoided && got.Zone == c.Zone && got.Load > c.Load {
				t.Fatalf("more loaded: %+v before %+v", got, c)
			}
		}
	})
}
