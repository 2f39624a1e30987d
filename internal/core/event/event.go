// Package event defines the interfaces of the reducer's inputs and outputs. The
// concrete types are defined in the packages under internal/core, which need
// not import each other to pass them on.
package event

// Event is an input of the reducer: something that has happened. Events are
// plain data and carry everything that the reducer may not obtain itself, such
// as wall clock time, identities and random values.
type Event interface {
	// IsEvent marks the type as an event.
	IsEvent()
}

// Effect is an output of the reducer: something to be done. Effects are plain
// data. Package node executes them and reports the results as events.
type Effect interface {
	// IsEffect marks the type as an effect.
	IsEffect()
}
