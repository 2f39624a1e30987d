package eventlog

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/settings"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Jobs writes the numbered lines of the jobs side as JSON.
type Jobs struct {
	out *log.Logger
}

// NewJobs returns a logger that writes lines for the named node to w.
func NewJobs(w io.Writer, node string) *Jobs {
	out := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.JSONFormatter,
	})
	return &Jobs{out: out.With("node", node)}
}

// Note writes one line.
func (l *Jobs) Note(n job.Note) {
	l.out.Info(n.Event.String(), append([]any{"event", int(n.Event)}, n.Fields...)...)
}

// Started writes the line of a process's start.
func (l *Jobs) Started(node vocab.NodeID, strength settings.Strength, memory int64) {
	l.out.Info("process started", "event", 1, "strength", float64(strength), "memory_mib", memory)
}

// Stopped writes the line of a process's end.
func (l *Jobs) Stopped(err error) {
	l.out.Info("process stopped", "event", 2, "error", err)
}

// Reloaded writes the line of a settings file that was read again.
func (l *Jobs) Reloaded(err error, changed bool) {
	l.out.Info("settings read again", "event", 3, "changed", changed, "error", err)
}
