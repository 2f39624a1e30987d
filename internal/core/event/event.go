// Package event declares what the reducer consumes and produces. Each decision
// package under internal/core defines its own concrete types; this package only
// marks them, so that packages need not import each other.
package event

// Event is something that happened: an input of the reducer. Events are plain
// data; time, identity and random seeds arrive in them.
type Event interface {
	// IsEvent marks the type as an event.
	IsEvent()
}

// Effect is something to be done: an output of the reducer. Effects are plain
// data; package node carries them out and reports the outcome as events.
type Effect interface {
	// IsEffect marks the type as an effect.
	IsEffect()
}
