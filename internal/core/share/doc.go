// Package share computes how the slots of a pool are divided among teams and
// entry nodes when demand exceeds capacity: by weighted max-min fairness over all
// teams with demand in the whole fleet.
//
// Targets computes the division. State collects the nodes' reports of demand and
// accumulated service and derives the allocations of this node. All nodes with the
// same reports compute the same division, so they need no agreement protocol.
//
// The package is deterministic: time is passed in as an argument, and equal calls
// give equal results. A State belongs to one process and is not safe for concurrent
// use.
package share
