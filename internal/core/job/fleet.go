package job

import "github.com/sardinehead/sardinehead/internal/core/event"

// handleFleet processes the events of machines, waves and the advisor.
func (o *owner) handleFleet(ev event.Event) {
	switch e := ev.(type) {
	case MachinesListed:
		o.machinesListed(e)
	case MachineAnswered:
		o.machineAnswered(e)
	case AdviceGiven:
		o.adviceGiven(e)
	case StatusWritten:
		o.statusWritten(e)
	}
}
