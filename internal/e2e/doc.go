// Package e2e proves the promises with entry nodes as processes of their own,
// which are paused and killed under load.
package e2e
