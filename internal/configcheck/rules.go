// Package configcheck finds mistakes in a configuration of the job service before it is
// sent: values that are not valid, entries that can never match, limits that contradict each
// other, and what a new version changes for callers. Nodes run the same rules when a
// configuration arrives.
//
// The package speaks of queues, pools and teams. An adapter that reads a deployment's own
// format supplies the words of that format and the position of each entry.
package configcheck

import (
	"fmt"
	"strings"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// RuleID is the number of a rule. Numbers are stable; docs/operators/config-rules.md lists
// them.
type RuleID int

// Rules.
const (
	RuleNameMissing RuleID = 100 + iota
	RuleNameTaken
	RuleUnknownPool
	RuleQueueOnSparePool
	RuleOutOfRange
	RuleKeyShared
	RuleSameAddress
	RuleNoSparePool
	RuleKeyEmpty
)

// Rules about entries that can never match, and limits that contradict each other.
const (
	RuleHostUnreachable RuleID = 200 + iota
	RulePrefixUnreachable
	RulePrefixNotSegment
	RuleTeamWithoutKeys
	RuleKeysUnused
	RulePoolUnused
	RuleLimitBelowTask
	RuleWeightZero
	RuleObjectiveUnreachable
	RuleTicketsExpire
	RuleBodyTooSmall
	RuleLimitsContradict
	RuleNoKeys
)

// Rules about a new version compared with the one in force.
const (
	RuleVersionNotHigher RuleID = 300 + iota
	RuleCallersRefused
	RuleKeysEnd
	RuleLimitShrinks
	RuleChanged
)

// Rule describes one check.
type Rule struct {
	ID       RuleID
	Severity strictjson.Severity
	// Summary says what is wrong, Example gives a configuration that breaks the rule.
	Summary, Example string
}

const (
	errorRule = strictjson.SeverityError
	warning   = strictjson.SeverityWarning
)

// Rules lists all rules by their number.
var Rules = []Rule{
	{RuleNameMissing, errorRule, "an entry has no name, or a queue has no host or prefix", `a queue with an empty name`},
	{RuleNameTaken, errorRule, "two queues, pools or teams have the same name", `two teams named "kijiji"`},
	{RuleUnknownPool, errorRule, "a queue names a pool that does not exist", `pool "dispach" where the pools are "dispatch" and "admin"`},
	{RuleQueueOnSparePool, errorRule, "a queue's pool is the spare pool, whose machines are off", `a queue on the pool marked as spare`},
	{RuleOutOfRange, errorRule, "a number is outside its range", `version 0, 0 attempts, a stretch of 0, a negative limit`},
	{RuleKeyShared, errorRule, "two teams have the same key, so that the key's team depends on their order", `one key under two teams`},
	{RuleSameAddress, errorRule, "two queues have the same host and prefix: the second one gets no call", `two queues at "orders.example" and "/orders/"`},
	{RuleNoSparePool, warning, "there is no spare pool, or more than one: idle machines are never switched off, or only into the first", `two pools marked as spare`},
	{RuleKeyEmpty, errorRule, "a key is empty: calls without a key count as the team's", `a team with the key ""`},
	{RuleHostUnreachable, warning, "no caller can send this host: it has capitals, blanks, a port or a path", `host "Orders.example:80"`},
	{RulePrefixUnreachable, warning, `no path begins so: a prefix begins with "/" and has no blank, "?" or "#"`, `prefix "orders/"`},
	{RulePrefixNotSegment, warning, `the prefix does not end with "/": the rest of its last segment is read as part of the job's ID, which is then not valid`, `prefix "/orders"`},
	{RuleTeamWithoutKeys, warning, "a team has no key: only queues that are open to all take its work, and not in its name", `a team with an empty list of keys`},
	{RuleKeysUnused, warning, "teams have keys, and every queue is open to all: no call needs a key", `three teams, all queues open`},
	{RulePoolUnused, warning, "no queue uses the pool, and it is not the spare pool: its machines stay without work", `a pool that no queue names`},
	{RuleLimitBelowTask, warning, "a limit on CPU time is below one core; the unit is a thousandth of a core", `a limit of 8 that was meant as 8 cores`},
	{RuleWeightZero, warning, "a team's weight gives it no share: all its jobs count as beyond its rate", `a weight of 0`},
	{RuleObjectiveUnreachable, warning, "the latency objective is shorter than the run time itself", `a stretch below 1 without additional latency`},
	{RuleTicketsExpire, warning, "the advisor's tickets expire before its answer for one worker can be used", `300 ms to decide, valid for 200 ms`},
	{RuleBodyTooSmall, warning, "the maximum body is smaller than a job with the longest payload", `a maximum of 2,000 bytes`},
	{RuleLimitsContradict, warning, "a team's limits contradict each other: memory for none of the tasks that its CPU limit allows", `8 cores and 1 MiB`},
	{RuleNoKeys, warning, "a queue needs a key and no team has one: all its calls are refused", `no teams, and a queue that is not open to all`},
	{RuleVersionNotHigher, errorRule, "the version is not higher than the one in force: nodes ignore it", `version 7 while 7 is in force`},
	{RuleCallersRefused, warning, "callers are refused from now on", `a queue was removed`},
	{RuleKeysEnd, warning, "keys stop working", `a team's key was removed`},
	{RuleLimitShrinks, warning, "a team's limit or weight shrinks: what runs above it goes on, nothing more starts until it is below", `a limit from 80 to 40 cores`},
	{RuleChanged, warning, "another change", `a queue's priority`},
}

// ruleByID returns a rule of the table.
func ruleByID(id RuleID) Rule {
	for _, r := range Rules {
		if r.ID == id {
			return r
		}
	}
	return Rule{ID: id}
}

// Kind is the kind of an entry of a configuration.
type Kind int

// Kinds of entries. KindConfig is the configuration itself.
const (
	KindConfig Kind = iota
	KindQueue
	KindPool
	KindTeam
)

// Field names a value of an entry.
type Field int

// Fields of entries.
const (
	FieldNone Field = iota
	FieldName
	FieldHost
	FieldPrefix
	FieldPool
	FieldPriority
	FieldMaxAttempts
	FieldStretch
	FieldLatency
	FieldAdvisor
	FieldKeys
	FieldWeight
	FieldLimit
	FieldMaxBody
	FieldVersion
)

// Ref refers to a field of the entry of a kind with an index.
type Ref struct {
	Kind  Kind
	Index int
	Field Field
}

// Finding is a breach of a rule at one place of a configuration.
type Finding struct {
	Rule Rule
	At   Ref
	// format and args are the message; {queue}, {pool} and {team} stand for the words of the
	// deployment.
	format string
	args   []any
}

// Words are the names of a deployment's format for queues, pools and teams.
type Words struct{ Queue, Pool, Team string }

// OwnWords are the words of this project.
var OwnWords = Words{Queue: "queue", Pool: "pool", Team: "team"}

// Message describes the finding in the words of a deployment.
func (f Finding) Message(w Words) string {
	format := strings.NewReplacer("{queue}", w.Queue, "{pool}", w.Pool, "{team}", w.Team).Replace(f.format)
	return fmt.Sprintf(format, f.args...)
}

// findings collects the breaches of rules.
type findings []Finding

func (l *findings) add(id RuleID, at Ref, format string, args ...any) {
	*l = append(*l, Finding{ruleByID(id), at, format, args})
}
