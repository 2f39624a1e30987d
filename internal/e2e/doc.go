// Package e2e tests the guarantees to callers with entry nodes as separate
// processes, which are paused and killed under load.
package e2e
