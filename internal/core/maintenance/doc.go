// Package maintenance plans moves of VMs between pools and rolling maintenance
// of all VMs in waves. Moves and maintenance are called disruptions: each takes
// a VM out of service for a while. No disruption takes a pool below its
// availability budget; only failures can.
//
// Ledger is the replicated state, folded from the log. Controller is the local
// state of one node: it follows the ledger and the observed VMs, claims ownership
// of the planning when the owner is lost, and emits effects. MakePlan is a pure
// function from a Snapshot to steps; Apply checks the steps against the newest
// Snapshot and turns them into effects. The package does no I/O and reads no
// clock.
package maintenance
