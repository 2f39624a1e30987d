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
	keepRequired = []strictjson.Required{{Name: "ready", Example: `"ready": 8`}}
	ruleRequired = []strictjson.Required{{Name: "path_prefix", Example: `"path_prefix": "/"`}}
)

// methods are the HTTP methods that callers may use.
var methods = declare("method", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

func (t *tree) checkService(f *serviceFile) {
	s, root := f.service, f.doc.Root()
	strictjson.RequireAll(root, serviceRequired)
	t.checkQueueName(f)
	t.checkServicePool(f)
	t.checkServiceTeams(root, s)
	checkHold(root.Field("hold"), &s.Hold)
	t.checkKeep(root.Field("keep"), s)
	t.checkLimits(root.Field("limits"), &s.Limits)
	for i := range s.Requests {
		checkRule(root.Field("requests").Index(i), &s.Requests[i])
	}
}

func (t *tree) checkQueueName(f *serviceFile) {
	at, name := f.doc.Root().Field("service"), f.service.Queue
	strictjson.CheckName(at, string(name))
	if name == reservedQueue {
		at.Report(fmt.Sprintf("%q is the path of the callers' tasks", name), "another name")
	}
	if other := t.earlier(f, func(s *Service) bool { return s.Queue == name }); other != nil && name != "" {
		at.Report(fmt.Sprintf("the service %q is already at %s", name, other.doc.Root().Field("service").Place()),
			"each service in one file")
	}
}

func (t *tree) checkServicePool(f *serviceFile) {
	at, name := f.doc.Root().Field("pool"), f.service.Pool
	if t.fleetUsable() {
		t.pools.check(at, string(name))
	}
	if other := t.earlier(f, func(s *Service) bool { return s.Pool == name }); other != nil && name != "" {
		at.Report(fmt.Sprintf("the pool %q already serves %q at %s", name, other.service.Queue,
			other.doc.Root().Field("pool").Place()), "a pool of its own for each service")
	}
}

// earlier returns the first file before f whose service matches, or nil.
func (t *tree) earlier(f *serviceFile, match func(*Service) bool) *serviceFile {
	for i := range t.services {
		if &t.services[i] == f {
			return nil
		}
		if t.services[i].doc.OK() && match(t.services[i].service) {
			return &t.services[i]
		}
	}
	return nil
}

func (t *tree) checkServiceTeams(root strictjson.Cursor, s *Service) {
	at := root.Field("teams")
	if !at.Present() && !s.Open {
		root.Require("teams", `"teams": ["kijiji"], or "open": true for callers without a key`)
		return
	}
	if s.Open && at.Present() {
		at.Report(`"teams" has no meaning beside "open": true`, `one of the two`)
		return
	}
	if len(s.Teams) == 0 {
		at.Report("no team may send work to this service", `at least one team, or "open": true`)
	}
	names := newUnique("team")
	for i, team := range s.Teams {
		if t.fleetUsable() {
			t.teams.check(at.Index(i), string(team))
		}
		names.add(at.Index(i), string(team))
	}
}

func checkHold(at strictjson.Cursor, h *Hold) {
	strictjson.CheckRange(at.Field("queued"), "queued", int64(h.Queued), 1, maxQueued)
	strictjson.CheckRange(at.Field("queued_per_team"), "queued_per_team", int64(h.QueuedPerTeam), 1, maxQueued)
	strictjson.CheckRange(at.Field("body_bytes"), "body_bytes", h.BodyBytes, 0, maxBodyBytes)
	if at.Field("queued").Present() && h.QueuedPerTeam > h.Queued {
		at.Field("queued_per_team").Report(
			fmt.Sprintf(`"queued_per_team" is %d, more than "queued"`, h.QueuedPerTeam),
			fmt.Sprintf("at most %d", h.Queued))
	}
}

func (t *tree) checkLimits(at strictjson.Cursor, l *TimeLimits) {
	strictjson.CheckDuration(at.Field("queue"), "queue", l.Queue.D(), minTimeLimit, maxTimeLimit)
	strictjson.CheckDuration(at.Field("first_byte"), "first_byte", l.FirstByte.D(), minTimeLimit, maxTimeLimit)
	strictjson.CheckDuration(at.Field("run"), "run", l.Run.D(), minTimeLimit, maxTimeLimit)
	run := at.Field("run")
	if run.Present() && l.FirstByte > l.Run {
		at.Field("first_byte").Report(
			fmt.Sprintf(`"first_byte" is %s, longer than "run"`, l.FirstByte.D()),
			fmt.Sprintf("at most %q", l.Run.D()))
	}
	drain := t.fleet.Maintenance.Drain
	if t.fleetUsable() && drain > 0 && l.Run > drain {
		run.Warn(fmt.Sprintf(`"run" is %s, longer than "drain" of the fleet's maintenance`, l.Run.D()),
			fmt.Sprintf("at most %q, or a longer drain", drain.D()))
	}
}

func checkRule(at strictjson.Cursor, r *RequestRule) {
	strictjson.RequireAll(at, ruleRequired)
	names := newUnique("method")
	for i, method := range r.Methods {
		methods.check(at.Field("methods").Index(i), method)
		names.add(at.Field("methods").Index(i), method)
	}
	if len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' {
		at.Field("path_prefix").Report(fmt.Sprintf("%q does not begin with a slash", r.PathPrefix),
			fmt.Sprintf("%q", "/"+r.PathPrefix))
	}
}
