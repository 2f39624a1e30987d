package eventlog_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/eventlog"
)

// TestCatalogue compares docs/LOG-EVENTS.md with the events of the code.
func TestCatalogue(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/LOG-EVENTS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var documented, known []string
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+?) \|`).FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1]+" "+m[2])
	}
	for id, text := range core.LogEvents() {
		known = append(known, fmt.Sprintf("%d %s", id, text))
	}
	for id, text := range job.LogEvents() {
		known = append(known, fmt.Sprintf("%d %s", id, text))
	}
	for id, text := range eventlog.ProcessEvents() {
		known = append(known, fmt.Sprintf("%d %s", id, text))
	}
	g.Expect(documented).To(gomega.ConsistOf(known))
}
