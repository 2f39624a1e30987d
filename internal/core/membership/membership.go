// Package membership judges which other entry processes answer at present and
// whom to exchange gossip with. A judgement chooses whom to ask; it is never a
// licence to take over what another process holds.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// Fanout is the number of processes to exchange gossip with in each round.
	Fanout = 2
	// Round is the time between two rounds.
	Round = time.Second
	// baseSilence is how long a counter may stand still between two processes
	// that talk each round.
	baseSilence = 3 * time.Second
	// silencePerDoubling is added for each doubling of the fleet, since reports
	// then come over more hops.
	silencePerDoubling = time.Second
	// witnesses is the number of processes that must find one silent.
	witnesses = 2
)

// Process is what is known of another process.
type Process struct {
	ID   vocab.Incarnation
	Zone vocab.ZoneID
	// Heard is when its counter last grew here.
	Heard vocab.Instant
	// Known is false if nothing was ever heard of it; Heard is then when this
	// process began to expect it.
	Known bool
	// Accusers is the number of other processes that find it silent.
	Accusers int
}

// View is a judgement of all other processes.
type View struct {
	// Reachable lists those that answer, sorted.
	Reachable []vocab.Incarnation
	// Silent lists those whose counters stand still here, sorted.
	Silent []vocab.Incarnation
	// Suspect lists the silent ones that enough witnesses agree on, sorted.
	Suspect []vocab.Incarnation
	// LostZones lists the zones all of whose processes are silent, if there are
	// at least two of them: the zone is cut off or lost as a whole.
	LostZones []vocab.ZoneID
}

// Judge returns the view at an instant.
func Judge(now vocab.Instant, others []Process) View {
	var v View
	limit := SilenceLimit(len(others) + 1)
	// With only two processes there is no second witness to be had.
	needed := min(witnesses, len(others))
	perZone := map[vocab.ZoneID]*tally{}
	for _, p := range others {
		zone := tallyOf(perZone, p.Zone)
		zone.all++
		if now.Sub(p.Heard) <= limit {
			if p.Known {
				v.Reachable = append(v.Reachable, p.ID)
			}
			continue
		}
		zone.silent++
		v.Silent = append(v.Silent, p.ID)
		if 1+p.Accusers >= needed {
			v.Suspect = append(v.Suspect, p.ID)
		}
	}
	for name, zone := range perZone {
		if zone.all > 1 && zone.silent == zone.all {
			v.LostZones = append(v.LostZones, name)
		}
	}
	slices.Sort(v.Reachable)
	slices.Sort(v.Silent)
	slices.Sort(v.Suspect)
	slices.Sort(v.LostZones)
	return v
}

// SilenceLimit returns how long a counter may stand still in a fleet of n
// processes before the process is found silent.
func SilenceLimit(n int) time.Duration {
	limit := baseSilence
	for size := 2; size < n; size *= 2 {
		limit += silencePerDoubling
	}
	return limit
}

type tally struct{ all, silent int }

func tallyOf(m map[vocab.ZoneID]*tally, zone vocab.ZoneID) *tally {
	t, ok := m[zone]
	if !ok {
		t = &tally{}
		m[zone] = t
	}
	return t
}

// Partners returns whom to exchange gossip with in a round. Over the rounds
// every process comes up equally often: the order is shuffled anew, by the
// seed, each time all have been taken. Silent ones stay in, so that a process
// that comes back is found.
func Partners(all []vocab.Incarnation, seed, round uint64) []vocab.Incarnation {
	if len(all) <= Fanout {
		return all
	}
	perCycle := uint64((len(all) + Fanout - 1) / Fanout)
	cycle, at := round/perCycle, int(round%perCycle)*Fanout
	order := slices.Clone(all)
	slices.Sort(order)
	shuffle := rand.New(rand.NewPCG(seed, cycle))
	shuffle.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order[at:min(at+Fanout, len(order))]
}
