package shares

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	nodes = 8
	// poolSlots is the capacity: 10 VMs of 8 slots.
	poolSlots = 80
	// queued and queuedPerTeam are the bounds of waiting requests in the fleet.
	queued        = 800
	queuedPerTeam = 400
	// window is the time over which closeness to share is measured.
	window = 10 * time.Second
	warmUp = 20 * time.Second
	length = 140 * time.Second
	// callerTries is how often a refused caller sends its request.
	callerTries = 4
	// usualRun is the mean run time of most requests.
	usualRun = 200 * time.Millisecond
	// spikeEvery, spikeLength and lullLength shape the demand in turns.
	spikeEvery  = 30 * time.Second
	spikeLength = 4 * time.Second
	lullLength  = 10 * time.Second
	// loseAt is when a node is lost, in scenarios that lose one.
	loseAt = 60 * time.Second
)

// teamLoad is what the callers of one team send.
type teamLoad struct {
	name   vocab.TeamID
	weight float64
	// slots is the mean demand, in slots.
	slots float64
	run   time.Duration
	// urgent is the part of urgent requests.
	urgent float64
	// spread is the part of the callers at each node; nil is even.
	spread   []float64
	patience time.Duration
}

// scenario is one load and one fault.
type scenario struct {
	name   string
	teams  []teamLoad
	spikes bool
	loses  bool
}

// overload returns six teams of unequal shares, of which four ask for twice
// what the pool holds and two small ones for less than their part.
func overload() []teamLoad {
	load := func(name vocab.TeamID, weight, slots float64) teamLoad {
		return teamLoad{name: name, weight: weight, slots: slots, run: usualRun, urgent: 0.03, patience: 8 * time.Second}
	}
	return []teamLoad{
		load("a", 6, 60), load("b", 4, 40), load("c", 3, 36), load("d", 2, 24), load("e", 1, 2), load("f", 1, 1),
	}
}

// scenarios returns all loads that are measured.
func scenarios() []scenario {
	even := scenario{name: "even", teams: overload()}
	one := scenario{name: "one team at one node", teams: overload()}
	one.teams[1].spread = []float64{1, 0, 0, 0, 0, 0, 0, 0}
	skewed := scenario{name: "balancer 3:1", teams: overload()}
	for i := range skewed.teams {
		skewed.teams[i].spread = []float64{3, 1, 3, 1, 3, 1, 3, 1}
	}
	skewed.teams[2].spread = []float64{1, 3, 1, 3, 1, 3, 1, 3}
	lost := scenario{name: "node lost", teams: overload(), loses: true}
	mixed := scenario{name: "long and short", teams: overload()}
	mixed.teams[0].run = 20 * time.Millisecond
	mixed.teams[1].run = 4 * time.Second
	mixed.teams[1].patience = 20 * time.Second
	spike := scenario{name: "spikes", teams: overload(), spikes: true}
	for i := range spike.teams {
		// A mean of half the pool, so that a spike asks for 2.5 times the pool.
		spike.teams[i].slots = 40 * spike.teams[i].weight / 17
		spike.teams[i].patience = 5 * time.Second
	}
	return []scenario{even, one, skewed, lost, mixed, spike}
}

// factor returns the demand at a time relative to the mean.
func (s scenario) factor(at time.Duration) float64 {
	if !s.spikes {
		return 1
	}
	switch phase := at % spikeEvery; {
	case phase < spikeLength:
		return 5
	case phase < spikeLength+lullLength:
		return 0.05
	default:
		return 1
	}
}
