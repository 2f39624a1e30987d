// Package maintenance decides on moves of VMs between pools and on waves of
// maintenance. It keeps every pool within its availability budget as far as
// failures alone allow.
//
// Ledger is shared state, folded from the log. Controller is the local state of
// one node: it follows the ledger and the observed VMs, claims the planning
// when its owner is lost, and gives effects. Plan is a pure function from a
// Snapshot to steps; Apply checks steps against the newest Snapshot and turns
// them into effects. The package does no I/O and reads no clock.
package maintenance
