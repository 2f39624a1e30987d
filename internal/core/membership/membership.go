// Package membership decides from gossip heartbeats which other entry processes
// are reachable, and selects the gossip partners of each round. Its results
// choose which processes to contact. They never justify a takeover of anything
// that another process owns, because a silent process may still be running.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// Fanout is the number of gossip partners in each round.
	Fanout = 2
	// RoundInterval is the interval between two gossip rounds.
	RoundInterval = time.Second
	// baseHeartbeatTimeout is the heartbeat timeout in a fleet of two processes,
	// which exchange gossip with each other in every round.
	baseHeartbeatTimeout = 3 * time.Second
	// timeoutPerDoubling is added to the timeout for each doubling of the fleet,
	// because heartbeats then travel over more hops.
	timeoutPerDoubling = time.Second
	// minReporters is the number of processes, including this one, that must
	// find a process silent before it is suspected.
	minReporters = 2
)

// Process holds what is known about another entry process.
type Process struct {
	ID   vocab.Incarnation
	Zone vocab.ZoneID
	// LastHeartbeat is the time when this process last received a higher heartbeat
	// counter of it.
	LastHeartbeat vocab.Instant
	// HeartbeatReceived is false if no heartbeat of it was ever received;
	// LastHeartbeat is then when this process first expected one.
	HeartbeatReceived bool
	// Reporters is the number of other processes that report it as silent.
	Reporters int
}

// View classifies the other processes by their heartbeats. All lists are sorted.
type View struct {
	// Reachable lists the processes with a heartbeat within the timeout. A process
	// that is still expected to send its first one is in no list.
	Reachable []vocab.Incarnation
	// Silent lists the processes without a heartbeat within the timeout.
	Silent []vocab.Incarnation
	// Suspected lists the silent processes that enough other processes also report
	// as silent.
	Suspected []vocab.Incarnation
	// LostZones lists the zones with at least two processes, all of them silent:
	// the whole zone is down or cut off from this process.
	LostZones []vocab.ZoneID
}

// Classify classifies the other processes at the instant now.
func Classify(now vocab.Instant, others []Process) View {
	var v View
	timeout := HeartbeatTimeout(len(others) + 1)
	// In a fleet of two processes, no third one can confirm a suspicion.
	required := min(minReporters, len(others))
	perZone := map[vocab.ZoneID]*zoneCount{}
	for _, p := range others {
		zone := countFor(perZone, p.Zone)
		zone.total++
		if now.Sub(p.LastHeartbeat) <= timeout {
			if p.HeartbeatReceived {
				v.Reachable = append(v.Reachable, p.ID)
			}
			continue
		}
		zone.silent++
		v.Silent = append(v.Silent, p.ID)
		if 1+p.Reporters >= required {
			v.Suspected = append(v.Suspected, p.ID)
		}
	}
	for name, zone := range perZone {
		if zone.total > 1 && zone.silent == zone.total {
			v.LostZones = append(v.LostZones, name)
		}
	}
	slices.Sort(v.Reachable)
	slices.Sort(v.Silent)
	slices.Sort(v.Suspected)
	slices.Sort(v.LostZones)
	return v
}

// HeartbeatTimeout returns the heartbeat timeout in a fleet of n processes: a process
// is silent if its heartbeat counter has not grown for longer.
func HeartbeatTimeout(n int) time.Duration {
	timeout := baseHeartbeatTimeout
	for size := 2; size < n; size *= 2 {
		timeout += timeoutPerDoubling
	}
	return timeout
}

// zoneCount counts the processes of a zone, and the silent ones among them.
type zoneCount struct{ total, silent int }

// countFor returns the zone's count and adds an empty one if there is none.
func countFor(counts map[vocab.ZoneID]*zoneCount, zone vocab.ZoneID) *zoneCount {
	c, ok := counts[zone]
	if !ok {
		c = &zoneCount{}
		counts[zone] = c
	}
	return c
}

// Partners returns the gossip partners of a round, at most Fanout of the given
// processes. Each cycle of rounds contacts every process once, in an order that
// is shuffled for each cycle from the seed. Silent processes are included, so
// that a process that becomes reachable again is detected.
func Partners(all []vocab.Incarnation, seed, round uint64) []vocab.Incarnation {
	if len(all) <= Fanout {
		return all
	}
	roundsPerCycle := uint64((len(all) + Fanout - 1) / Fanout)
	cycle, start := round/roundsPerCycle, int(round%roundsPerCycle)*Fanout
	order := slices.Clone(all)
	slices.Sort(order)
	shuffle := rand.New(rand.NewPCG(seed, cycle))
	shuffle.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order[start:min(start+Fanout, len(order))]
}
