package job

import (
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/event"
)

// handleFleet takes the events of machines and waves.
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

func sortIDs(ids []MachineID) { slices.Sort(ids) }

func cloneTasks(w *worker) []*task { return slices.Clone(w.tasks) }
