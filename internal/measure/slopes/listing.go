package slopes

import (
	"encoding/json"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/services"
)

// listBytes returns slopes of the encoded sizes of the VM list and of an operator's
// dump.
func listBytes() []Slope {
	list := Slope{Name: "vm-list-bytes", Title: "the VM list in full", Axis: "VMs", Unit: "bytes", DesignSize: designVMs}
	dump := Slope{Name: "dump-bytes", Title: "one dump for an operator", Axis: "VMs", Unit: "bytes", DesignSize: designVMs}
	for _, n := range vmCounts {
		size := designSize()
		size.vms = n
		list.add(n, jsonBytes(size.listing()))
		dump.add(n, dumpBytes(size.reducer()))
	}
	return []Slope{list, dump}
}

// listing returns the full VM list in the format of the platform.
func (size fleetSize) listing() services.VMListing {
	listing := services.VMListing{Version: 1, Full: true}
	for _, r := range size.vmRows() {
		listing.VMs = append(listing.VMs, services.VM{
			Name: r.Name, Incarnation: r.Incarnation, Pool: r.Pool, Region: r.Region, Zone: r.Zone, Rack: r.Rack,
			Address: r.Address, Phase: services.VMLive,
		})
	}
	return listing
}

// dumpBytes returns the encoded size of a dump.
func dumpBytes(s *core.State) float64 {
	raw, err := json.Marshal(s.Dump())
	if err != nil {
		panic(err) // dumps always encode
	}
	return float64(len(raw))
}
