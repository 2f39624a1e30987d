package spec

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

var (
	serviceRequired = []strictjson.Required{
		{Name: "service", Example: `"service": "orders"`},
		{Name: "pool", Example: `"pool": "orders"`},
		{Name: "keep", Example: `"keep": {"ready": 8, "ready_per_zone": 2}`},
	}
	budgetRequired = []strictjson.Required{{Name: "ready", Example: `"ready": 8`}}
	ruleRequired   = []strictjson.Required{{Name: "path_prefix", Example: `"path_prefix": "/"`}}
)

// httpMethods are the HTTP methods that callers may use.
var httpMethods = newDeclaredNames("method", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

func (t *configTree) checkService(f *serviceFile) {
	s, root := f.service, f.doc.Root()
	strictjson.RequireAll(root, serviceRequired)
	t.checkQueueName(f)
	t.checkServicePool(f)
	t.checkServiceTeams(root, s)
	checkQueueLimits(root.Field("hold"), &s.QueueLimits)
	t.checkBudget(root.Field("keep"), s)
	t.checkTimeLimits(root.Field("limits"), &s.TimeLimits)
	for i := range s.Requests {
		checkRequestRule(root.Field("requests").Index(i), &s.Requests[i])
	}
}

func (t *configTree) checkQueueName(f *serviceFile) {
	at, name := f.doc.Root().Field("service"), f.service.Queue
	strictjson.CheckName(at, string(name))
	if name == reservedQueueName {
		at.Report(fmt.Sprintf("the name %q is reserved for the path of the tasks", name), "another name")
	}
	if other := t.earlierService(f, func(s *Service) bool { return s.Queue == name }); other != nil && name != "" {
		at.Report(fmt.Sprintf("duplicate service %q, first given at %s", name, other.doc.Root().Field("service").Location()),
			"each service in one file")
	}
}

func (t *configTree) checkServicePool(f *serviceFile) {
	at, name := f.doc.Root().Field("pool"), f.service.Pool
	if t.fleetParsed() {
		t.declaredPools.check(at, string(name))
	}
	if other := t.earlierService(f, func(s *Service) bool { return s.Pool == name }); other != nil && name != "" {
		at.Report(fmt.Sprintf("the pool %q already serves %q at %s", name, other.service.Queue,
			other.doc.Root().Field("pool").Location()), "a pool of its own for each service")
	}
}

// earlierService returns the first file before f whose service matches, or nil.
func (t *configTree) earlierService(f *serviceFile, match func(*Service) bool) *serviceFile {
	for i := range t.services {
		if &t.services[i] == f {
			return nil
		}
		if t.services[i].doc.Parsed() && match(t.services[i].service) {
			return &t.services[i]
		}
	}
	return nil
}

func (t *configTree) checkServiceTeams(root strictjson.Cursor, s *Service) {
	at := root.Field("teams")
	if !at.Present() && !s.Open {
		root.Require("teams", `"teams": ["kijiji"], or "open": true for callers without a key`)
		return
	}
	if s.Open && at.Present() {
		at.Report(`"teams" and "open": true exclude each other`, `one of the two`)
		return
	}
	if len(s.Teams) == 0 {
		at.Report("no team may use this service", `at least one team, or "open": true`)
	}
	unique := newUniqueNames("team")
	for i, team := range s.Teams {
		if t.fleetParsed() {
			t.declaredTeams.check(at.Index(i), string(team))
		}
		unique.add(at.Index(i), string(team))
	}
}

func checkQueueLimits(at strictjson.Cursor, h *QueueLimits) {
	strictjson.CheckRange(at.Field("queued"), "queued", int64(h.MaxQueued), 1, maxQueued)
	strictjson.CheckRange(at.Field("queued_per_team"), "queued_per_team", int64(h.MaxQueuedPerTeam), 1, maxQueued)
	strictjson.CheckRange(at.Field("body_bytes"), "body_bytes", h.MaxBodyBytes, 0, maxBodyBytes)
	if at.Field("queued").Present() && h.MaxQueuedPerTeam > h.MaxQueued {
		at.Field("queued_per_team").Report(
			fmt.Sprintf(`"queued_per_team" is %d, more than "queued"`, h.MaxQueuedPerTeam),
			fmt.Sprintf("at most %d", h.MaxQueued))
	}
}

func (t *configTree) checkTimeLimits(at strictjson.Cursor, l *TimeLimits) {
	strictjson.CheckDuration(at.Field("queue"), "queue", l.Queue.D(), minTimeLimit, maxTimeLimit)
	strictjson.CheckDuration(at.Field("first_byte"), "first_byte", l.FirstByte.D(), minTimeLimit, maxTimeLimit)
	strictjson.CheckDuration(at.Field("run"), "run", l.Run.D(), minTimeLimit, maxTimeLimit)
	run := at.Field("run")
	if run.Present() && l.FirstByte > l.Run {
		at.Field("first_byte").Report(
			fmt.Sprintf(`"first_byte" is %s, longer than "run"`, l.FirstByte.D()),
			fmt.Sprintf("at most %q", l.Run.D()))
	}
	drain := t.fleet.Maintenance.DrainTimeout
	if t.fleetParsed() && drain > 0 && l.Run > drain {
		run.Warn(fmt.Sprintf(`"run" is %s, longer than "drain" of the fleet's maintenance`, l.Run.D()),
			fmt.Sprintf("at most %q, or a longer drain", drain.D()))
	}
}

func checkRequestRule(at strictjson.Cursor, r *RequestRule) {
	strictjson.RequireAll(at, ruleRequired)
	unique := newUniqueNames("method")
	for i, method := range r.Methods {
		httpMethods.check(at.Field("methods").Index(i), method)
		unique.add(at.Field("methods").Index(i), method)
	}
	if len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' {
		at.Field("path_prefix").Report(fmt.Sprintf("%q does not begin with a slash", r.PathPrefix),
			fmt.Sprintf("%q", "/"+r.PathPrefix))
	}
}
