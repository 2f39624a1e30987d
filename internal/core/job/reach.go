package job

import (
	"slices"
	"time"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// The workers that respond to an owner are its reach. Connections may fail between one node and a part of
// the workers only, or no new ones may be made, while the owner renews its ownership and other
// nodes would reach them all.

const (
	// minUnreachable is the least number of workers that do not respond for which the owner asks
	// other nodes.
	minUnreachable = 4
	// maxUnreachableFraction bounds the workers that do not respond to an owner before it asks
	// other nodes whether they reach them, reachCheckInterval is the time between two such
	// questions. A node reaches workers that have crashed no more than the owner.
	maxUnreachableFraction = 0.05
	reachCheckInterval     = 3 * time.Second
	// MaxProbes bounds the workers that a node tries to reach, probeTimeout the time for which an
	// owner waits for the result.
	MaxProbes = 16
	// maxReachCandidates bounds the nodes that are asked for their reach.
	maxReachCandidates = 8
	probeTimeout       = 500 * time.Millisecond
	// minReachFraction is the fraction of the probed workers, which do not respond to the owner, that
	// a node has to reach to take over for that reason.
	minReachFraction = 0.6
)

// checkReach asks other nodes whether they reach the workers that do not respond to this one, if
// these are many. A cut that all nodes share, or workers that have crashed, change nothing.
func (o *owner) checkReach() {
	h := &o.health
	listed, unreachable := 0, o.unreachableWorkers()
	for _, w := range o.workers {
		if w.listed {
			listed++
		}
	}
	many := unreachable >= minUnreachable && float64(unreachable) > maxUnreachableFraction*float64(listed)
	if !many || !o.mayHandOver() || h.reachCheckedAt != 0 && o.s.now.Sub(h.reachCheckedAt) < reachCheckInterval {
		return
	}
	h.reachCheckedAt = o.s.now
	o.beginHandover(true)
}

// unreachableWorkers is the number of workers that do not respond.
func (o *owner) unreachableWorkers() int {
	n := 0
	for _, w := range o.workers {
		if w.unreachable() {
			n++
		}
	}
	return n
}

// cutOff reports whether most of the nodes that were asked have not responded. An owner that reaches
// neither these nor a part of its workers is cut off itself, perhaps with a few other nodes; the
// store, which it does reach, tells all of them that it resigns.
func (h *handover) cutOff() bool {
	unreachable := 0
	for _, p := range h.prepared {
		if p.Unreachable {
			unreachable++
		}
	}
	return 2*unreachable > len(h.candidates)
}

// spreadSample returns at most n of the nodes, evenly spaced in the order of their names: nodes of one
// zone, which often share a cut, have similar names.
func spreadSample(nodes []vocab.NodeID, n int) []vocab.NodeID {
	if len(nodes) <= n {
		return nodes
	}
	sorted := slices.Sorted(slices.Values(nodes))
	sample := make([]vocab.NodeID, n)
	for i := range sample {
		sample[i] = sorted[i*len(sorted)/n]
	}
	return sample
}

// stillUnreachable reports whether most of the probed workers have not responded to the owner either
// meanwhile.
func (o *owner) stillUnreachable(probes []Probe) bool {
	n := 0
	for _, p := range probes {
		if w := o.workers[p.Worker]; w != nil && w.unreachable() {
			n++
		}
	}
	return float64(n) > minReachFraction*float64(len(probes))
}

// unreachableSample lists some of the workers that do not respond.
func (o *owner) unreachableSample() []Probe {
	var all []Probe
	for _, id := range o.workerIDs {
		if w := o.workers[id]; w.unreachable() {
			all = append(all, Probe{Worker: id, Address: w.info.Address, Incarnation: w.info.Incarnation})
		}
	}
	if len(all) <= MaxProbes {
		return all
	}
	sample := make([]Probe, MaxProbes)
	for i := range sample {
		sample[i] = all[i*len(all)/MaxProbes]
	}
	return sample
}

// unreachable reports whether the worker is listed and has not responded twice. A worker that has
// just come to a pool and has no tasks yet counts as well.
func (w *worker) unreachable() bool {
	return w.listed && w.info.Address != "" && w.failedPolls > 1
}
