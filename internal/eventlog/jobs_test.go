package eventlog_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/eventlog"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestRateLimitDropsAndCountsLines logs 10,000 lines of one event at once. Most are
// dropped and counted, and a line of another event is written.
func TestRateLimitDropsAndCountsLines(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := eventlog.NewJobLogger(&out, "n1")
	for range 10_000 {
		log.Write(job.LogEvent{ID: job.LogRunStarted, Fields: []any{"task", "x"}})
	}
	log.Write(job.LogEvent{ID: job.LogJobRefused, Fields: []any{"job", "00000000000000aa", "why", "test"}})
	log.Stopped(nil)
	lines := strings.Count(out.String(), "\n")
	g.Expect(log.DroppedLines()).To(gomega.BeNumerically(">", 9_000))
	g.Expect(lines + int(log.DroppedLines())).To(gomega.BeNumerically(">=", 10_002))
	g.Expect(out.String()).To(gomega.ContainSubstring("00000000000000aa"), "the refusal must not be dropped")
	g.Expect(out.String()).To(gomega.ContainSubstring(`"event":608`))
}

// TestBlockedOutputDoesNotBlockCallers logs 8,000 lines while the output blocks.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	log := eventlog.NewJobLogger(io.Writer(blockedWriter{release}), "n1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 40 {
			for range 200 {
				log.Write(job.LogEvent{ID: job.LogRunLost + job.LogEventID(i%5)})
			}
		}
	}()
	g.Eventually(done, 5*time.Second).Should(gomega.BeClosed())
	close(release)
}
