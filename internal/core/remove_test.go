package core_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/observe"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// TestOnlyEvidenceRemovesAMember guards against the removal of a member that
// may still be running: a silent member stays until the platform lists its VM
// as gone.
func TestOnlyEvidenceRemovesAMember(t *testing.T) {
	g := gomega.NewWithT(t)
	s := core.New(core.Identity{Node: "entry-1", Incarnation: 1})
	var records []record.Sequenced
	for i, node := range []vocab.NodeID{"entry-1", "entry-2"} {
		envelope, err := record.Encode(vocab.RecordID(node), record.NodeJoined{Node: node, Incarnation: vocab.Incarnation(i + 1)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		records = append(records, record.Sequenced{Offset: vocab.Offset(i + 1), Envelope: envelope})
	}
	s.Step(1, core.RecordsRead{Records: records})

	list := func(version uint64, phase observe.ListPhase) {
		s.Step(1, core.VMsListed{Version: version, Rows: []observe.Row{{Name: "entry-2", Incarnation: 1, Phase: phase}}})
	}
	list(1, observe.ListLive)
	g.Expect(removals(s, 0, time.Minute)).To(gomega.BeEmpty(), "a silent member whose VM is listed as live")
	list(2, observe.ListGone)
	g.Expect(removals(s, time.Minute, 5*time.Second)).To(gomega.Equal([]record.NodeRemoved{
		{Node: "entry-2", Incarnation: 2, Reason: record.RemovalGone},
	}), "one record, not one a second")
}

// removals sends ticks from the time from on for the given length and returns
// the removal records that were appended.
func removals(s *core.State, from, length time.Duration) []record.NodeRemoved {
	var out []record.NodeRemoved
	for at := from; at < from+length; at += core.TickInterval {
		for _, e := range s.Step(vocab.Instant(at), core.Tick{}) {
			if a, ok := e.(core.Append); ok {
				if removed, ok := a.Body.(record.NodeRemoved); ok {
					out = append(out, removed)
				}
			}
		}
	}
	return out
}
