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

// TestCatalogue checks that docs/LOG-EVENTS.md lists exactly the log events of the
// code, with their numbers and texts.
func TestCatalogue(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/LOG-EVENTS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var documented, defined []string
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+?) \|`).FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1]+" "+m[2])
	}
	for id, text := range core.LogEvents() {
		defined = append(defined, fmt.Sprintf("%d %s", id, text))
	}
	for id, text := range job.LogEvents() {
		defined = append(defined, fmt.Sprintf("%d %s", id, text))
	}
	for id, text := range eventlog.ProcessEvents() {
		defined = append(defined, fmt.Sprintf("%d %s", id, text))
	}
	g.Expect(documented).To(gomega.ConsistOf(defined))
}
