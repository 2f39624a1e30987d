package vocab

// Outcome states whether a caller's request or task was run.
type Outcome uint8

const (
	// OutcomeUnknown means that the upstream may have run it, fully or in part.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no part of it was run.
	OutcomeNotRun
	// OutcomeCompleted means that the upstream sent a complete response.
	OutcomeCompleted
)

// String returns the name used in headers and problem documents.
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
