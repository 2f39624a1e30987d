package configcheck

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// soundConfig returns a configuration without findings.
func soundConfig() *job.Config {
	return &job.Config{
		Version: 7, MaxBody: 1 << 18,
		Queues: []job.Queue{{Name: "orders", Host: "orders.example", Prefix: "/orders/", Pool: "orders", MaxAttempts: 3, Stretch: 1.6, Latency: 600 * time.Millisecond}},
		Pools:  []job.Pool{{Name: "orders"}, {Name: "office", Spare: true}},
		Teams:  []job.Team{{Name: "kijiji", Keys: []string{"k1", "k2"}, Weight: 10, Limit: job.Resources{CPU: 80_000, Memory: 100_000}}},
	}
}

func rulesOf(list []Finding) []RuleID {
	var ids []RuleID
	for _, f := range list {
		ids = append(ids, f.Rule.ID)
	}
	return ids
}

// TestEachRuleFindsItsMistake breaks each rule on a sound configuration.
func TestEachRuleFindsItsMistake(t *testing.T) {
	mistakes := map[RuleID]func(*job.Config){
		RuleNameMissing:       func(c *job.Config) { c.Teams[0].Name = "" },
		RuleNameTaken:         func(c *job.Config) { c.Pools = append(c.Pools, c.Pools[0]) },
		RuleUnknownPool:       func(c *job.Config) { c.Queues[0].Pool = "oders" },
		RuleQueueOnSparePool:  func(c *job.Config) { c.Queues[0].Pool = "office" },
		RuleOutOfRange:        func(c *job.Config) { c.Queues[0].MaxAttempts = 0 },
		RuleKeyShared:         func(c *job.Config) { c.Teams = append(c.Teams, job.Team{Name: "b", Keys: []string{"k2"}, Weight: 1}) },
		RuleSameAddress:       func(c *job.Config) { q := c.Queues[0]; q.Name = "b"; c.Queues = append(c.Queues, q) },
		RuleNoSparePool:       func(c *job.Config) { c.Pools = c.Pools[:1] },
		RuleKeyEmpty:          func(c *job.Config) { c.Teams[0].Keys = []string{"k1", ""} },
		RuleNoKeys:            func(c *job.Config) { c.Teams = nil },
		RuleHostUnreachable:   func(c *job.Config) { c.Queues[0].Host = "Orders.example:80" },
		RulePrefixUnreachable: func(c *job.Config) { c.Queues[0].Prefix = "orders/" },
		RulePrefixNotSegment:  func(c *job.Config) { c.Queues[0].Prefix = "/orders" },
		RuleTeamWithoutKeys:   func(c *job.Config) { c.Teams[0].Keys = nil },
		RuleKeysUnused:        func(c *job.Config) { c.Queues[0].Open = true },
		RulePoolUnused:        func(c *job.Config) { c.Pools = append(c.Pools, job.Pool{Name: "idle"}) },
		RuleLimitBelowTask:    func(c *job.Config) { c.Teams[0].Limit.CPU = 80 },
		RuleWeightZero:        func(c *job.Config) { c.Teams[0].Weight = 0 },
		RuleObjectiveUnreachable: func(c *job.Config) {
			c.Queues[0].Stretch, c.Queues[0].Latency = 0.9, 0
		},
		RuleTicketsExpire: func(c *job.Config) {
			c.Queues[0].Advisor = &job.AdvisorTiming{Decide: 300 * time.Millisecond, Valid: 200 * time.Millisecond}
		},
		RuleBodyTooSmall:     func(c *job.Config) { c.MaxBody = 2000 },
		RuleLimitsContradict: func(c *job.Config) { c.Teams[0].Limit.Memory = 1 },
		RuleVersionNotHigher: func(c *job.Config) { c.Version = 6 },
		RuleCallersRefused:   func(c *job.Config) { c.Queues[0].Prefix = "/new/" },
		RuleKeysEnd:          func(c *job.Config) { c.Teams[0].Keys = []string{"k1"} },
		RuleLimitShrinks:     func(c *job.Config) { c.Teams[0].Limit.CPU = 40_000 },
		RuleChanged:          func(c *job.Config) { c.Queues[0].Priority = 1 },
	}
	g := gomega.NewWithT(t)
	g.Expect(Check(soundConfig())).To(gomega.BeEmpty())
	for _, r := range Rules {
		g.Expect(mistakes).To(gomega.HaveKey(r.ID))
		c := soundConfig()
		mistakes[r.ID](c)
		found := Check(c)
		if r.ID >= RuleVersionNotHigher {
			found = Compare(soundConfig(), c)
		}
		g.Expect(rulesOf(found)).To(gomega.ContainElement(r.ID), "%s", r.Summary)
		for _, f := range found {
			g.Expect(f.Message(OwnWords)).NotTo(gomega.ContainSubstring("%!"), "rule %d", r.ID)
		}
	}
}

// TestMessagesHoldNoKey: keys are secret.
func TestMessagesHoldNoKey(t *testing.T) {
	g := gomega.NewWithT(t)
	c := soundConfig()
	c.Teams[0].Keys = []string{"very-secret"}
	c.Teams = append(c.Teams, job.Team{Name: "b", Keys: []string{"very-secret"}, Weight: 1})
	for _, f := range append(Check(c), Compare(soundConfig(), c)...) {
		g.Expect(f.Message(OwnWords)).NotTo(gomega.ContainSubstring("very-secret"))
	}
	g.Expect(fmt.Sprint(WithoutSecrets(c).Teams)).NotTo(gomega.ContainSubstring("very-secret"))
}

// TestUnchangedConfigurationHasNoDifference except for its version.
func TestUnchangedConfigurationHasNoDifference(t *testing.T) {
	g := gomega.NewWithT(t)
	next := soundConfig()
	next.Version++
	g.Expect(Compare(soundConfig(), next)).To(gomega.BeEmpty())
}

// TestVersionZeroIsOutOfRange: nodes never take it in place of another one.
func TestVersionZeroIsOutOfRange(t *testing.T) {
	c := soundConfig()
	c.Version = 0
	gomega.NewWithT(t).Expect(rulesOf(Check(c))).To(gomega.Equal([]RuleID{RuleOutOfRange}))
}

// TestPageListsAllRules: the operators' page has each rule with its number, severity, summary and
// example.
func TestPageListsAllRules(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/operators/config-rules.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, r := range Rules {
		g.Expect(strings.Split(string(page), "\n")).To(gomega.ContainElement(fmt.Sprintf("| %d | %s | %s | %s |", r.ID, r.Severity, r.Summary, r.Example)))
	}
}
