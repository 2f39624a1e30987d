package vocab

// Outcome tells a caller what became of its request or task.
type Outcome uint8

const (
	// OutcomeUnknown means that the upstream may or may not have run it.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that it was certainly not run, not even in part.
	OutcomeNotRun
	// OutcomeCompleted means that the upstream answered in full.
	OutcomeCompleted
)

// String returns the spelling used in headers and problem documents.
func (o Outcome) String() string {
	switch o {
	case OutcomeCompleted:
		return "completed"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}
