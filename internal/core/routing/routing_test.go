package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const slots = 8

// runAttempts sends attempts to ten VMs in three zones in steps of 1 ms, with up
// to 75 attempts running at the same time, and returns the number of attempts on
// each VM. An attempt takes 100 ms, or 1 ms if the VM fails it.
func runAttempts(h *Health, start vocab.Instant, steps int, fails func(vm int) bool) [10]int {
	type run struct {
		vm   int
		ends vocab.Instant
	}
	var attempts [10]int
	var running []run
	for step := range steps {
		now := start.Add(time.Duration(step) * time.Millisecond)
		unfinished := running[:0]
		for _, r := range running {
			if r.ends > now {
				unfinished = append(unfinished, r)
				continue
			}
			h.Ended(now, key(r.vm), fails(r.vm), slots)
		}
		running = unfinished
		for len(running) < 75 {
			var candidates []Candidate
			for vm := range 10 {
				status := h.Status(now, key(vm))
				c := Candidate{Zone: zone(vm), Free: slots - status.Running, Load: status.Running, Slots: slots, Avoided: status.Avoided}
				if status.Bounded {
					c.Free = min(c.Free, status.FreeCapacity)
				}
				candidates = append(candidates, c)
			}
			vm, ok := Choose(candidates, "z0", uint64(step))
			if !ok {
				break
			}
			latency := 100 * time.Millisecond
			if fails(vm) {
				latency = time.Millisecond
			}
			attempts[vm]++
			h.Started(now, key(vm))
			running = append(running, run{vm: vm, ends: now.Add(latency)})
		}
	}
	return attempts
}

func key(vm int) Key { return Key{VM: vocab.VMID(rune('a' + vm))} }

func zone(vm int) vocab.ZoneID { return vocab.ZoneID("z" + string(rune('0'+vm%3))) }

func TestFailingVMGetsFewAttempts(t *testing.T) {
	h := NewHealth()
	attempts := runAttempts(h, 0, 10_000, func(vm int) bool { return vm == 3 })
	if attempts[3] > 100 {
		t.Errorf("the failing VM got %d attempts of %v", attempts[3], attempts)
	}
	attempts = runAttempts(h, vocab.Instant(70*time.Second), 5_000, func(int) bool { return false })
	if attempts[3] < 200 {
		t.Errorf("the recovered VM got only %d attempts of %v", attempts[3], attempts)
	}
}

func TestFailureOfAllVMsExcludesNone(t *testing.T) {
	h := NewHealth()
	runAttempts(h, 0, 5_000, func(int) bool { return true })
	for vm := range 10 {
		if status := h.Status(vocab.Instant(5*time.Second), key(vm)); status.Bounded {
			t.Errorf("VM %d is excluded: %+v", vm, status)
		}
	}
}

// TestChoose checks that no better candidate than the chosen one exists, that
// the load of the node's own zone stays within the bound, and that Choose does
// not allocate.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		candidates := make([]Candidate, random.IntN(12))
		for i := range candidates {
			load := vocab.Slots(random.IntN(slots + 1))
			candidates[i] = Candidate{Zone: zone(random.IntN(3)), Free: vocab.Slots(random.IntN(3)), Load: load, Slots: slots, Avoided: random.IntN(4) == 0}
		}
		rotation := random.Uint64()
		chosen, ok := 0, false
		if n := testing.AllocsPerRun(1, func() { chosen, ok = Choose(candidates, "z0", rotation) }); n != 0 {
			t.Fatalf("%v allocations", n)
		}
		for i, c := range candidates {
			if c.Free <= 0 {
				continue
			}
			if !ok {
				t.Fatalf("no candidate chosen, but candidate %d has a free slot", i)
			}
			got := candidates[chosen]
			if got.Free <= 0 || got.Avoided && !c.Avoided {
				t.Fatalf("%+v was chosen instead of %+v", got, c)
			}
			if got.Avoided == c.Avoided && float64(got.Load-c.Load) > otherZonePenalty*slots {
				t.Fatalf("the zone is overloaded: %+v was chosen instead of %+v", got, c)
			}
			if got.Avoided == c.Avoided && got.Zone == c.Zone && got.Load > c.Load {
				t.Fatalf("the more loaded VM was chosen: %+v instead of %+v", got, c)
			}
		}
	})
}
