package slopes

import (
	"encoding/json"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/services"
)

// listBytes returns slopes of the VM list and of an operator's dump.
func listBytes() []Slope {
	list := Slope{Name: "vm-list-bytes", Title: "the VM list in full", Axis: "VMs", Unit: "bytes", Design: designVMs}
	dump := Slope{Name: "dump-bytes", Title: "one dump for an operator", Axis: "VMs", Unit: "bytes", Design: designVMs}
	for _, n := range vmSizes {
		z := design()
		z.vms = n
		list.add(n, jsonBytes(z.listing()))
		dump.add(n, dumpBytes(z.state()))
	}
	return []Slope{list, dump}
}

// listing returns the VM list as the platform sends it.
func (z size) listing() services.VMListing {
	listing := services.VMListing{Version: 1, Full: true}
	for _, r := range z.rows() {
		listing.VMs = append(listing.VMs, services.VM{
			Name: r.Name, Incarnation: r.Incarnation, Pool: r.Pool, Region: r.Region, Zone: r.Zone, Rack: r.Rack,
			Address: r.Address, Phase: services.VMLive,
		})
	}
	return listing
}

func dumpBytes(s *core.State) float64 {
	raw, err := json.Marshal(s.Dump())
	if err != nil {
		panic(err) // dumps are plain data
	}
	return float64(len(raw))
}
