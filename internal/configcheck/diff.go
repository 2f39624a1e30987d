package configcheck

import (
	"fmt"
	"slices"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// Compare returns what a new configuration changes compared with the one in force, with the
// consequence of each change. Removals refer to the configuration as a whole.
func Compare(inForce, next *job.Config) []Finding {
	var list findings
	if next.Version <= inForce.Version {
		list.add(RuleVersionNotHigher, Ref{Field: FieldVersion}, "version %d is in force: nodes ignore version %d", inForce.Version, next.Version)
	}
	compareQueues(&list, inForce, next)
	comparePools(&list, inForce, next)
	compareTeams(&list, inForce, next)
	if inForce.MaxBody != next.MaxBody {
		list.add(RuleChanged, Ref{Field: FieldMaxBody}, "the maximum body changes from %d to %d bytes", inForce.MaxBody, next.MaxBody)
	}
	return list
}

// indexBy returns the index of each entry by its name.
func indexBy[T any](entries []T, name func(*T) string) map[string]int {
	index := make(map[string]int, len(entries))
	for i := range entries {
		index[name(&entries[i])] = i
	}
	return index
}

func compareQueues(list *findings, inForce, next *job.Config) {
	name := func(q *job.Queue) string { return string(q.Name) }
	before, after := indexBy(inForce.Queues, name), indexBy(next.Queues, name)
	for i := range inForce.Queues {
		if q := &inForce.Queues[i]; !hasKey(after, name(q)) {
			list.add(RuleCallersRefused, Ref{}, "{queue} %q is removed: calls to %s%s get no such {queue}; its accepted jobs go on", q.Name, q.Host, q.Prefix)
		}
	}
	for i := range next.Queues {
		q := &next.Queues[i]
		old, known := before[name(q)]
		if !known {
			list.add(RuleChanged, Ref{KindQueue, i, FieldName}, "{queue} %q is added at %s%s", q.Name, q.Host, q.Prefix)
			continue
		}
		compareQueue(list, i, &inForce.Queues[old], q)
	}
}

func compareQueue(list *findings, i int, old, q *job.Queue) {
	changed := func(field Field, what string, before, after any) {
		if before != after {
			list.add(RuleChanged, Ref{KindQueue, i, field}, "%s of {queue} %q changes from %v to %v", what, q.Name, before, after)
		}
	}
	if old.Host != q.Host || old.Prefix != q.Prefix {
		list.add(RuleCallersRefused, Ref{KindQueue, i, FieldPrefix}, "{queue} %q moves from %s%s to %s%s: calls to the old address are refused", q.Name, old.Host, old.Prefix, q.Host, q.Prefix)
	}
	if old.Open && !q.Open {
		list.add(RuleCallersRefused, Ref{KindQueue, i, FieldName}, "{queue} %q needs a key from now on", q.Name)
	}
	if !old.Open && q.Open {
		list.add(RuleChanged, Ref{KindQueue, i, FieldName}, "{queue} %q is open to all from now on", q.Name)
	}
	changed(FieldPool, "the {pool}", string(old.Pool), string(q.Pool))
	changed(FieldPriority, "the priority", old.Priority, q.Priority)
	changed(FieldMaxAttempts, "the number of attempts", old.MaxAttempts, q.MaxAttempts)
	changed(FieldStretch, "the stretch", old.Stretch, q.Stretch)
	changed(FieldLatency, "the latency", old.Latency, q.Latency)
	changed(FieldAdvisor, "the advisor", advisorText(old.Advisor), advisorText(q.Advisor))
}

func advisorText(a *job.AdvisorTiming) string {
	if a == nil {
		return "none"
	}
	return fmt.Sprintf("%v + %v a worker, valid for %v", a.Decide, a.Each, a.Valid)
}

func comparePools(list *findings, inForce, next *job.Config) {
	name := func(p *job.Pool) string { return string(p.Name) }
	before, after := indexBy(inForce.Pools, name), indexBy(next.Pools, name)
	for i := range inForce.Pools {
		if p := &inForce.Pools[i]; !hasKey(after, name(p)) {
			list.add(RuleChanged, Ref{}, "{pool} %q is removed: its machines get no new work", p.Name)
		}
	}
	for i := range next.Pools {
		p := &next.Pools[i]
		at := Ref{KindPool, i, FieldName}
		old, known := before[name(p)]
		switch {
		case !known:
			list.add(RuleChanged, at, "{pool} %q is added", p.Name)
		case inForce.Pools[old].Spare != p.Spare:
			list.add(RuleChanged, at, "{pool} %q: spare changes from %v to %v", p.Name, inForce.Pools[old].Spare, p.Spare)
		}
	}
}

func compareTeams(list *findings, inForce, next *job.Config) {
	name := func(t *job.Team) string { return string(t.Name) }
	before, after := indexBy(inForce.Teams, name), indexBy(next.Teams, name)
	for i := range inForce.Teams {
		if t := &inForce.Teams[i]; !hasKey(after, name(t)) {
			list.add(RuleKeysEnd, Ref{}, "{team} %q is removed: its %d keys stop working; its accepted jobs go on", t.Name, len(t.Keys))
		}
	}
	for i := range next.Teams {
		t := &next.Teams[i]
		old, known := before[name(t)]
		if !known {
			list.add(RuleChanged, Ref{KindTeam, i, FieldName}, "{team} %q is added with %d keys", t.Name, len(t.Keys))
			continue
		}
		compareTeam(list, i, &inForce.Teams[old], t)
	}
}

func compareTeam(list *findings, i int, old, t *job.Team) {
	ended, added := countMissing(old.Keys, t.Keys), countMissing(t.Keys, old.Keys)
	if ended > 0 {
		list.add(RuleKeysEnd, Ref{KindTeam, i, FieldKeys}, "%d of %d keys of {team} %q stop working", ended, len(old.Keys), t.Name)
	}
	if added > 0 {
		list.add(RuleChanged, Ref{KindTeam, i, FieldKeys}, "%d keys of {team} %q are added", added, t.Name)
	}
	switch {
	case t.Weight < old.Weight:
		list.add(RuleLimitShrinks, Ref{KindTeam, i, FieldWeight}, "the weight of {team} %q shrinks from %g to %g", t.Name, old.Weight, t.Weight)
	case t.Weight > old.Weight:
		list.add(RuleChanged, Ref{KindTeam, i, FieldWeight}, "the weight of {team} %q grows from %g to %g", t.Name, old.Weight, t.Weight)
	}
	for _, r := range []struct {
		what          string
		before, after int64
	}{
		{"CPU (thousandths of a core)", old.Limit.CPU, t.Limit.CPU},
		{"memory (MiB)", old.Limit.Memory, t.Limit.Memory},
		{"accelerators", old.Limit.GPU, t.Limit.GPU},
	} {
		compareLimit(list, i, t, r.what, r.before, r.after)
	}
}

// compareLimit compares a limit, of which 0 is none.
func compareLimit(list *findings, i int, t *job.Team, what string, before, after int64) {
	if before == after {
		return
	}
	rule, verb := RuleChanged, "grows"
	if after != 0 && (before == 0 || after < before) {
		rule, verb = RuleLimitShrinks, "shrinks"
	}
	list.add(rule, Ref{KindTeam, i, FieldLimit}, "the limit on %s of {team} %q %s from %s to %s", what, t.Name, verb, limitText(before), limitText(after))
}

func limitText(n int64) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprint(n)
}

func countMissing(list, from []string) int {
	n := 0
	for _, key := range list {
		if !slices.Contains(from, key) {
			n++
		}
	}
	return n
}

func hasKey(m map[string]int, key string) bool {
	_, ok := m[key]
	return ok
}
