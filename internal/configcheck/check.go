package configcheck

import (
	"slices"
	"strings"

	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/strictjson"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	// milliCoresPerCore is the unit of limits on CPU time.
	milliCoresPerCore = 1000
	// maxPayloadBytes is the size of the longest payload of a job, minBodyBytes that of the
	// smallest body that holds it together with one step.
	maxPayloadBytes = 4000
	minBodyBytes    = maxPayloadBytes + 500
)

// Check returns the breaches of the rules on one configuration, in the order of its entries.
func Check(c *job.Config) []Finding {
	var list findings
	if c.Version == 0 {
		list.add(RuleOutOfRange, Ref{Field: FieldVersion}, "the version 0 is lower than that of any configuration in force")
	}
	pools := checkPools(&list, c)
	checkQueues(&list, c, pools)
	checkTeams(&list, c)
	if c.MaxBody < 0 {
		list.add(RuleOutOfRange, Ref{Field: FieldMaxBody}, "the maximum body of %d bytes is negative", c.MaxBody)
	} else if c.MaxBody > 0 && c.MaxBody < minBodyBytes {
		list.add(RuleBodyTooSmall, Ref{Field: FieldMaxBody}, "the maximum body of %d bytes refuses jobs with a payload of %d bytes", c.MaxBody, maxPayloadBytes)
	}
	return list
}

// checkName reports an entry without a name, or with the name of an earlier one.
func checkName(list *findings, seen map[string]bool, kind Kind, i int, noun, name string) {
	at := Ref{kind, i, FieldName}
	switch {
	case name == "":
		list.add(RuleNameMissing, at, "the "+noun+" has no name")
	case seen[name]:
		list.add(RuleNameTaken, at, "another "+noun+" is named %q", name)
	}
	seen[name] = true
}

// checkPools checks the pools and returns them by name.
func checkPools(list *findings, c *job.Config) map[vocab.PoolID]*job.Pool {
	seen, pools := map[string]bool{}, map[vocab.PoolID]*job.Pool{}
	used := map[vocab.PoolID]bool{}
	for i := range c.Queues {
		used[c.Queues[i].Pool] = true
	}
	spares := 0
	for i := range c.Pools {
		p := &c.Pools[i]
		checkName(list, seen, KindPool, i, "{pool}", string(p.Name))
		pools[p.Name] = p
		switch {
		case p.Spare:
			spares++
			if spares > 1 {
				list.add(RuleNoSparePool, Ref{KindPool, i, FieldName}, "{pool} %q is another spare one", p.Name)
			}
		case !used[p.Name]:
			list.add(RulePoolUnused, Ref{KindPool, i, FieldName}, "no {queue} uses {pool} %q", p.Name)
		}
	}
	if spares == 0 && len(c.Pools) > 0 {
		list.add(RuleNoSparePool, Ref{}, "no {pool} is the spare one")
	}
	return pools
}

func checkQueues(list *findings, c *job.Config, pools map[vocab.PoolID]*job.Pool) {
	names := make([]string, 0, len(c.Pools))
	for i := range c.Pools {
		names = append(names, string(c.Pools[i].Name))
	}
	seen, addresses := map[string]bool{}, map[[2]string]vocab.QueueID{}
	for i := range c.Queues {
		q := &c.Queues[i]
		checkName(list, seen, KindQueue, i, "{queue}", string(q.Name))
		checkAddress(list, i, q, addresses)
		switch p := pools[q.Pool]; {
		case p == nil:
			list.add(RuleUnknownPool, Ref{KindQueue, i, FieldPool}, "there is no {pool} %q; write %s", q.Pool, strictjson.Suggest(string(q.Pool), names))
		case p.Spare:
			list.add(RuleQueueOnSparePool, Ref{KindQueue, i, FieldPool}, "{pool} %q is the spare one, whose machines are off", q.Pool)
		}
		checkObjective(list, i, q)
	}
}

// checkAddress checks the host and prefix of a queue.
func checkAddress(list *findings, i int, q *job.Queue, addresses map[[2]string]vocab.QueueID) {
	if q.Host == "" {
		list.add(RuleNameMissing, Ref{KindQueue, i, FieldHost}, "the {queue} has no host")
	} else if strings.ToLower(q.Host) != q.Host || strings.ContainsAny(q.Host, " \t/:?#") {
		list.add(RuleHostUnreachable, Ref{KindQueue, i, FieldHost}, "no caller can send the host %q", q.Host)
	}
	at := Ref{KindQueue, i, FieldPrefix}
	switch {
	case q.Prefix == "":
		list.add(RuleNameMissing, at, "the {queue} has no prefix")
	case !strings.HasPrefix(q.Prefix, "/") || strings.ContainsAny(q.Prefix, " \t?#"):
		list.add(RulePrefixUnreachable, at, "no path begins with %q", q.Prefix)
	case !strings.HasSuffix(q.Prefix, "/"):
		list.add(RulePrefixNotSegment, at, "a job's ID follows the prefix %q in the same segment", q.Prefix)
	}
	address := [2]string{q.Host, q.Prefix}
	if other, taken := addresses[address]; taken {
		list.add(RuleSameAddress, at, "{queue} %q has the same host and prefix and gets all calls", other)
		return
	}
	addresses[address] = q.Name
}

// checkObjective checks the attempts, the objective and the advisor of a queue.
func checkObjective(list *findings, i int, q *job.Queue) {
	if q.Priority < 0 {
		list.add(RuleOutOfRange, Ref{KindQueue, i, FieldPriority}, "the priority %d is negative", q.Priority)
	}
	if q.MaxAttempts < 1 {
		list.add(RuleOutOfRange, Ref{KindQueue, i, FieldMaxAttempts}, "%d attempts are none", q.MaxAttempts)
	}
	if q.Latency < 0 {
		list.add(RuleOutOfRange, Ref{KindQueue, i, FieldLatency}, "the latency of %v is negative", q.Latency)
	}
	switch {
	case q.Stretch <= 0:
		list.add(RuleOutOfRange, Ref{KindQueue, i, FieldStretch}, "the stretch %g is not above 0", q.Stretch)
	case q.Stretch < 1 && q.Latency == 0:
		list.add(RuleObjectiveUnreachable, Ref{KindQueue, i, FieldStretch}, "with a stretch of %g and no latency no job is in time", q.Stretch)
	}
	if a := q.Advisor; a != nil {
		at := Ref{KindQueue, i, FieldAdvisor}
		switch {
		case a.Decide < 0 || a.Each < 0 || a.Valid < 0:
			list.add(RuleOutOfRange, at, "a time of the advisor is negative")
		case a.Valid <= a.Decide+a.Each:
			list.add(RuleTicketsExpire, at, "an answer takes %v and its tickets are valid for %v", a.Decide+a.Each, a.Valid)
		}
	}
}

func checkTeams(list *findings, c *job.Config) {
	seen, owners := map[string]bool{}, map[string]vocab.TeamID{}
	keys := 0
	for i := range c.Teams {
		t := &c.Teams[i]
		checkName(list, seen, KindTeam, i, "{team}", string(t.Name))
		if len(t.Keys) == 0 {
			list.add(RuleTeamWithoutKeys, Ref{KindTeam, i, FieldName}, "{team} %q has no key", t.Name)
		}
		for _, key := range t.Keys {
			keys++
			if key == "" {
				list.add(RuleKeyEmpty, Ref{KindTeam, i, FieldKeys}, "{team} %q has an empty key", t.Name)
				continue
			}
			if other, taken := owners[key]; taken && other != t.Name {
				// Keys are secret, so that the message names the teams only.
				list.add(RuleKeyShared, Ref{KindTeam, i, FieldKeys}, "{team} %q has the same key", other)
			}
			owners[key] = t.Name
		}
		checkLimits(list, i, t)
	}
	checkKeysNeeded(list, c, keys)
}

// checkKeysNeeded compares the number of keys with what the queues ask for.
func checkKeysNeeded(list *findings, c *job.Config, keys int) {
	closed := slices.IndexFunc(c.Queues, func(q job.Queue) bool { return !q.Open })
	switch {
	case closed >= 0 && keys == 0:
		list.add(RuleNoKeys, Ref{KindQueue, closed, FieldName}, "{queue} %q needs a key, and no {team} has one", c.Queues[closed].Name)
	case closed < 0 && keys > 0 && len(c.Queues) > 0:
		list.add(RuleKeysUnused, Ref{}, "all {queue}s are open to all, so that none of the %d keys is needed", keys)
	}
}

// checkLimits checks the weight and the limit of a team.
func checkLimits(list *findings, i int, t *job.Team) {
	weightAt, limitAt := Ref{KindTeam, i, FieldWeight}, Ref{KindTeam, i, FieldLimit}
	switch {
	case t.Weight < 0:
		list.add(RuleOutOfRange, weightAt, "the weight %g is negative", t.Weight)
	case t.Weight == 0:
		list.add(RuleWeightZero, weightAt, "the weight 0 gives {team} %q no share", t.Name)
	}
	limit := t.Limit
	switch {
	case limit.CPU < 0 || limit.Memory < 0 || limit.GPU < 0:
		list.add(RuleOutOfRange, limitAt, "a limit is negative")
	case limit.CPU > 0 && limit.CPU < milliCoresPerCore:
		list.add(RuleLimitBelowTask, limitAt, "%d thousandths of a core are less than one core", limit.CPU)
	case limit.CPU > 0 && limit.Memory > 0 && limit.Memory < limit.CPU/milliCoresPerCore:
		list.add(RuleLimitsContradict, limitAt, "%d MiB are under 1 MiB for each of %d cores", limit.Memory, limit.CPU/milliCoresPerCore)
	}
}
