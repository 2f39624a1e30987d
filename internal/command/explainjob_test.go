package command

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestReadJobLines reads a log with a prefixed line, a line of another program,
// a line about another job and a truncated line.
func TestReadJobLines(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "n1.log")
	content := `  1.2 n1 {"time":"2026-01-01T00:00:02.000Z","msg":"run started","node":"n1","event":609,"task":"00000000000000aa.0.0.1","run":2}
not a line of ours
{"time":"2026-01-01T00:00:01.000Z","msg":"job accepted","node":"n1","event":607,"job":"00000000000000aa","offset":7}
{"time":"2026-01-01T00:00:03.000Z","msg":"job accepted","node":"n1","event":607,"job":"00000000000000ab","offset":8}
{"cut off 00000000000000aa`
	g.Expect(os.WriteFile(path, []byte(content), 0o600)).To(gomega.Succeed())
	lines, err := readJobLines(path, "00000000000000aa")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lines).To(gomega.HaveLen(2))
	g.Expect(lines[0].Message).To(gomega.Equal("run started"))
	g.Expect(lines[0].Fields).To(gomega.Equal([]string{"run=2", "task=00000000000000aa.0.0.1"}))
	g.Expect(lines[1].Event).To(gomega.Equal(607))
	_, err = readJobLines(path+"x", "00000000000000aa")
	g.Expect(err).To(gomega.HaveOccurred())
}
