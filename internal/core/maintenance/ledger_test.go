package maintenance

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestRefusedRecordsLeaveLedgerUnchanged checks that records that are late,
// repeated or from a former owner are refused and have no effect.
func TestRefusedRecordsLeaveLedgerUnchanged(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	accepted := []record.Body{
		record.MaintenanceClaimed{Node: "n1"},
		record.WaveStarted{Epoch: 1, Wave: 1},
		record.DisruptionsStarted{
			Epoch: 1, Base: 2,
			Started: []record.VMMaintenanceStarted{{VM: "v1", Incarnation: 1}},
			Left:    []record.VMLeftPool{{VM: "v2", Incarnation: 1, From: "a", To: "b"}},
		},
		record.MaintenanceClaimed{Node: "n2", Previous: 1},
		record.WavePaused{Operator: "op", Wave: 1},
	}
	for i, b := range accepted {
		_, ok := l.Apply(vocab.Offset(i+1), b)
		g.Expect(ok).To(BeTrue(), "%T", b)
	}
	refused := []record.Body{
		record.MaintenanceClaimed{Node: "n3", Previous: 1},
		record.MaintenanceHeartbeat{Epoch: 1},
		record.DisruptionsStarted{Epoch: 1, Base: 5},
		record.DisruptionsStarted{Epoch: 4, Base: 4}, // decided without knowledge of the pause
		record.VMJoinedPool{Epoch: 1, VM: "v2", Pool: "b"},
		record.VMJoinedPool{Epoch: 4, VM: "v1", Pool: "b"},
		record.VMsRebooting{Epoch: 1, VMs: []vocab.VMID{"v1"}},
		record.VMMaintenanceCompleted{Epoch: 1, VM: "v1", Incarnation: 2},
		record.VMMaintenanceCompleted{Epoch: 4, VM: "v1", Incarnation: 1},
		record.VMMaintenanceFailed{Epoch: 1, VM: "v1"},
		record.VMMaintenanceCancelled{Epoch: 1, VM: "v1"},
		record.WaveStarted{Epoch: 4, Wave: 2},
		record.WaveStarted{Operator: "op", Wave: 1},
		record.WavePaused{Epoch: 1, Wave: 1},
		record.WaveResumed{Operator: "op", Wave: 1, Paused: 4},
	}
	before, _ := json.Marshal(l)
	for i, b := range refused {
		_, ok := l.Apply(vocab.Offset(len(accepted)+i+1), b)
		g.Expect(ok).To(BeFalse(), "%+v", b)
	}
	after, _ := json.Marshal(l)
	g.Expect(after).To(Equal(before))
	changed, ok := l.Apply(99, record.DisruptionsStarted{
		Epoch: 4, Base: 5,
		Started: []record.VMMaintenanceStarted{{VM: "v3", Incarnation: 1}},
		Left:    []record.VMLeftPool{{VM: "v1", Incarnation: 1, From: "a", To: "b"}},
	})
	g.Expect(ok).To(BeTrue())
	g.Expect(changed).To(BeEmpty(), "a paused wave starts no maintenance, and a VM in maintenance starts no move")
}
