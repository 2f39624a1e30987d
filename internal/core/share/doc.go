// Package share computes how the slots of a pool are divided among teams and
// entry nodes when demand exceeds capacity: weighted max-min over the teams
// that have demand, over the whole fleet.
//
// Targets is the division itself. State folds what the nodes report of demand
// and of slot time used, and derives the part of this node. Every node that has
// the same reports computes the same division, so nothing has to be agreed.
//
// The package is pure: time arrives as an argument, equal calls give equal
// results. State is local to one process and not safe for concurrent use.
package share
