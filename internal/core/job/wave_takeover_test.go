package job

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestNextOwnerCountsMaintenanceOfTheEarlierOne guards against a wave with more machines down than it may have: the
// orders that an earlier owner had sent last were not counted, because no list of machines shows them yet.
func TestNextOwnerCountsMaintenanceOfTheEarlierOne(t *testing.T) {
	for _, resigned := range []bool{false, true} {
		g := gomega.NewWithT(t)
		set := Settings{MaxLease: 6 * time.Second, MinOrderGap: 3 * time.Second}
		earlier := machinesOwner(set)
		earlier.scheduleOrder(earlier.fleet.machines["m1"], OrderMaintenance, "", 1)
		records := earlier.orderLogRecord()

		next := readerOf(t, set, records, resigned)
		next.s.config = &Config{Version: 1}
		next.s.owner, next.stage, next.ordersUntil, next.activeAt = next, stageActive, next.s.now.Add(time.Hour), next.s.now
		next.fleet.waveTokens = 10
		for _, id := range []MachineID{"m1", "m2"} {
			next.fleet.machineIDs = append(next.fleet.machineIDs, id)
			next.fleet.machines[id] = &machine{info: MachineInfo{ID: id, State: MachineUp}}
		}
		wave := Wave{Number: 1, Machines: []MachineID{"m1", "m2"}, MaxDown: 1, TimeLimit: time.Minute}
		next.s.handleWaveRequested(WaveRequested{Wave: wave})
		next.planWave(1, next.s.waves[1])
		g.Expect(next.fleet.machines["m2"].orderPending).To(gomega.BeFalse(), "m1 may be down by now")
		next.s.now = next.s.now.Add(30 * time.Second)
		next.planWave(1, next.s.waves[1])
		g.Expect(next.fleet.machines["m1"].orderPending || next.fleet.machines["m2"].orderPending).To(gomega.BeTrue(), "m1 is up")
	}
}
