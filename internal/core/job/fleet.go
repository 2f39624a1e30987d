package job

import "github.com/sardinehead/sardinehead/internal/core/event"

// handleFleet processes the events of machines, waves and the advisor.
func (o *owner) handleFleet(ev event.Event) {
	switch e := ev.(type) {
	case MachinesListed:
		o.handleMachinesListed(e)
	case MachineOrderAnswered:
		o.handleMachineOrderAnswered(e)
	case AdviceReceived:
		o.handleAdviceReceived(e)
	case StatusWritten:
		o.handleStatusWritten(e)
	}
}
