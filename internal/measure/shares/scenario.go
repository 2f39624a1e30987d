package shares

import (
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	nodeCount = 8
	// poolSlots is the capacity of the pool: 10 VMs of 8 slots.
	poolSlots = 80
	// maxQueued and maxQueuedPerTeam bound the waiting requests in the fleet.
	maxQueued        = 800
	maxQueuedPerTeam = 400
	// windowLength is the length of the windows in which deviations from the
	// shares are measured.
	windowLength = 10 * time.Second
	warmUp       = 20 * time.Second
	runLength    = 140 * time.Second
	// maxAttempts is the number of attempts after which a refused caller abandons
	// its request.
	maxAttempts = 4
	// defaultMeanRun is the mean run time of the requests of most teams.
	defaultMeanRun = 200 * time.Millisecond
	// In scenarios with spikes, a spike of spikeDuration starts every spikeInterval.
	// A lull of lullDuration follows it.
	spikeInterval = 30 * time.Second
	spikeDuration = 4 * time.Second
	lullDuration  = 10 * time.Second
	// nodeLossAt is the time at which a node is lost, in scenarios with a loss.
	nodeLossAt = 60 * time.Second
)

// teamLoad describes the requests of one team's callers.
type teamLoad struct {
	name   vocab.TeamID
	weight float64
	// meanSlots is the mean demand, in slots.
	meanSlots float64
	meanRun   time.Duration // mean of an exponential distribution
	// urgentFraction is the fraction of urgent requests.
	urgentFraction float64
	// nodeWeights are the relative numbers of requests at each node; nil means
	// equal.
	nodeWeights []float64
	// queueTimeout is the longest time that a request waits in a queue.
	queueTimeout time.Duration
}

// scenario is a load, possibly with spikes or the loss of a node.
type scenario struct {
	name      string
	teams     []teamLoad
	hasSpikes bool
	losesNode bool
}

// overloadedTeams returns six teams of unequal weights. Four of them together
// demand twice the capacity of the pool, and two small ones less than their
// share.
func overloadedTeams() []teamLoad {
	load := func(name vocab.TeamID, weight, slots float64) teamLoad {
		return teamLoad{name: name, weight: weight, meanSlots: slots, meanRun: defaultMeanRun, urgentFraction: 0.03, queueTimeout: 8 * time.Second}
	}
	return []teamLoad{
		load("a", 6, 60), load("b", 4, 40), load("c", 3, 36), load("d", 2, 24), load("e", 1, 2), load("f", 1, 1),
	}
}

// scenarios returns all scenarios that are measured.
func scenarios() []scenario {
	even := scenario{name: "even", teams: overloadedTeams()}
	one := scenario{name: "one team at one node", teams: overloadedTeams()}
	one.teams[1].nodeWeights = []float64{1, 0, 0, 0, 0, 0, 0, 0}
	skewed := scenario{name: "balancer 3:1", teams: overloadedTeams()}
	for i := range skewed.teams {
		skewed.teams[i].nodeWeights = []float64{3, 1, 3, 1, 3, 1, 3, 1}
	}
	skewed.teams[2].nodeWeights = []float64{1, 3, 1, 3, 1, 3, 1, 3}
	lost := scenario{name: "node lost", teams: overloadedTeams(), losesNode: true}
	mixed := scenario{name: "long and short", teams: overloadedTeams()}
	mixed.teams[0].meanRun = 20 * time.Millisecond
	mixed.teams[1].meanRun = 4 * time.Second
	mixed.teams[1].queueTimeout = 20 * time.Second
	spike := scenario{name: "spikes", teams: overloadedTeams(), hasSpikes: true}
	for i := range spike.teams {
		// The mean is half of the pool, so that the demand of a spike is 2.5 times
		// the pool.
		spike.teams[i].meanSlots = 40 * spike.teams[i].weight / 17
		spike.teams[i].queueTimeout = 5 * time.Second
	}
	return []scenario{even, one, skewed, lost, mixed, spike}
}

// demandFactor returns the demand at a time since the start, relative to
// teamLoad.meanSlots.
func (s scenario) demandFactor(at time.Duration) float64 {
	if !s.hasSpikes {
		return 1
	}
	switch phase := at % spikeInterval; {
	case phase < spikeDuration:
		return 5
	case phase < spikeDuration+lullDuration:
		return 0.05
	default:
		return 1
	}
}
