package spec

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/strictjson"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

var (
	fleetRequired = []strictjson.Required{
		{Name: "fleet", Example: `"fleet": "duka-jaza"`},
		{Name: "regions", Example: `"regions": [{"name": "nakuru", "zones": ["nakuru-a"]}]`},
		{Name: "teams", Example: `"teams": [{"name": "kijiji", "share": 10, "upper_limit": 40}]`},
		{Name: "pools", Example: `"pools": [{"name": "orders", "vms": 10, "slots": 8, "zones": ["nakuru-a"]}]`},
	}
	regionRequired = []strictjson.Required{
		{Name: "name", Example: `"name": "nakuru"`},
		{Name: "zones", Example: `"zones": ["nakuru-a", "nakuru-b"]`},
	}
	teamRequired = []strictjson.Required{
		{Name: "name", Example: `"name": "kijiji"`},
		{Name: "share", Example: `"share": 10`},
		{Name: "upper_limit", Example: `"upper_limit": 40`},
	}
	poolRequired = []strictjson.Required{
		{Name: "name", Example: `"name": "orders"`},
		{Name: "vms", Example: `"vms": 10`},
		{Name: "slots", Example: `"slots": 8`},
		{Name: "zones", Example: `"zones": ["nakuru-a", "nakuru-b"]`},
	}
)

func (t *configTree) checkFleet() {
	root := t.fleetDoc.Root()
	strictjson.RequireAll(root, fleetRequired)
	strictjson.CheckName(root.Field("fleet"), t.fleet.Name)
	t.checkRegions(root.Field("regions"))
	t.checkTeams(root.Field("teams"))
	t.checkPools(root.Field("pools"))
	checkMaintenance(root.Field("maintenance"), &t.fleet.Maintenance)
}

func (t *configTree) checkRegions(at strictjson.Cursor) {
	if len(t.fleet.Regions) == 0 {
		at.Report("there are no regions", "at least one region with its zones")
	}
	regions, zones := newUniqueNames("region"), newUniqueNames("zone")
	for i, r := range t.fleet.Regions {
		item := at.Index(i)
		strictjson.RequireAll(item, regionRequired)
		strictjson.CheckName(item.Field("name"), string(r.Name))
		regions.add(item.Field("name"), string(r.Name))
		if len(r.Zones) == 0 {
			item.Field("zones").Report(fmt.Sprintf("the region %q has no zones", r.Name), "at least one zone")
		}
		for j, zone := range r.Zones {
			zoneItem := item.Field("zones").Index(j)
			strictjson.CheckName(zoneItem, string(zone))
			zones.add(zoneItem, string(zone))
		}
	}
}

func (t *configTree) checkTeams(at strictjson.Cursor) {
	unique := newUniqueNames("team")
	for i, team := range t.fleet.Teams {
		item := at.Index(i)
		strictjson.RequireAll(item, teamRequired)
		strictjson.CheckName(item.Field("name"), string(team.Name))
		unique.add(item.Field("name"), string(team.Name))
		strictjson.CheckRange(item.Field("share"), "share", int64(team.Share), 1, maxShare)
		strictjson.CheckRange(item.Field("upper_limit"), "upper_limit", int64(team.UpperLimit), 1, maxUpperLimitSlots)
	}
}

func (t *configTree) checkPools(at strictjson.Cursor) {
	unique := newUniqueNames("pool")
	zones := t.declaredZones()
	sparePlace := ""
	for i := range t.fleet.Pools {
		pool, item := &t.fleet.Pools[i], at.Index(i)
		unique.add(item.Field("name"), string(pool.Name))
		checkPool(item, pool, zones)
		if !pool.Spare {
			continue
		}
		if sparePlace != "" {
			item.Field("spare").Report("there is already a spare pool at "+sparePlace, "false, or leave it out")
			continue
		}
		sparePlace = item.Location()
	}
}

func checkPool(at strictjson.Cursor, pool *Pool, zones *declaredNames) {
	strictjson.RequireAll(at, poolRequired)
	strictjson.CheckName(at.Field("name"), string(pool.Name))
	strictjson.CheckRange(at.Field("vms"), "vms", int64(pool.VMs), 1, maxVMsPerPool)
	strictjson.CheckRange(at.Field("slots"), "slots", int64(pool.Slots), 1, maxSlotsPerVM)
	strictjson.CheckRange(at.Field("connections"), "connections", int64(pool.MaxConnections), 1, maxConnections)
	if at.Field("connections").Present() && pool.MaxConnections < int(pool.Slots) {
		at.Field("connections").Warn(
			fmt.Sprintf("a VM with %d connections cannot fill its %d slots", pool.MaxConnections, pool.Slots),
			fmt.Sprintf("at least %d", pool.Slots))
	}
	checkPoolZones(at.Field("zones"), pool, zones)
}

// declaredZones returns the zones of all regions.
func (t *configTree) declaredZones() *declaredNames {
	var names []string
	for _, r := range t.fleet.Regions {
		for _, zone := range r.Zones {
			names = append(names, string(zone))
		}
	}
	return newDeclaredNames("zone", names...)
}

func checkPoolZones(at strictjson.Cursor, pool *Pool, zones *declaredNames) {
	if len(pool.Zones) == 0 {
		at.Report(fmt.Sprintf("the pool %q has no zones", pool.Name), "at least one zone")
		return
	}
	unique := newUniqueNames("zone")
	for i, zone := range pool.Zones {
		zones.check(at.Index(i), string(zone))
		unique.add(at.Index(i), string(zone))
	}
	if pool.VMs > 0 && pool.VMs < len(pool.Zones) {
		at.Warn(fmt.Sprintf("%d VMs cannot be spread over %d zones", pool.VMs, len(pool.Zones)),
			"at most as many zones as VMs")
	}
}

func checkMaintenance(at strictjson.Cursor, m *Maintenance) {
	strictjson.CheckDuration(at.Field("every"), "every", m.Interval.D(), minMaintenanceInterval, maxMaintenanceInterval)
	strictjson.CheckDuration(at.Field("drain"), "drain", m.DrainTimeout.D(), minMaintenanceTimeout, maxMaintenanceTimeout)
	strictjson.CheckDuration(at.Field("reboot"), "reboot", m.RebootTimeout.D(), minMaintenanceTimeout, maxMaintenanceTimeout)
	strictjson.CheckRange(at.Field("stop_after"), "stop_after", int64(m.StopAfter), 0, maxVMsPerPool)
}

// checkPoolsUsed reports pools that no service uses, except the spare pool. It
// reports nothing if a service file could not be parsed, since that file may
// use any pool.
func (t *configTree) checkPoolsUsed() {
	used := make(map[vocab.PoolID]bool, len(t.services))
	for _, s := range t.services {
		if !s.doc.Parsed() {
			return
		}
		used[s.service.Pool] = true
	}
	for i, pool := range t.fleet.Pools {
		if used[pool.Name] || pool.Spare || pool.Name == "" {
			continue
		}
		at := t.fleetDoc.Root().Field("pools").Index(i)
		at.Field("name").Report(fmt.Sprintf("no service uses the pool %q", pool.Name),
			fmt.Sprintf(`"pool": %q in a %s, or "spare": true here`, pool.Name, ServiceFileName))
	}
}
