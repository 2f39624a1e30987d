// Package eventlog writes numbered events to the process's log. The numbers
// are those of core.LogEventID; docs/LOG-EVENTS.md explains each.
package eventlog

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/sardinehead/sardinehead/internal/core"
)

// Logger writes events. It implements node.EventLog.
type Logger struct {
	out *log.Logger
}

// New returns a logger that writes lines for the named node to w.
func New(w io.Writer, node string) *Logger {
	out := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return &Logger{out: out.With("node", node)}
}

// Write writes what the reducer asked for.
func (l *Logger) Write(n core.LogEvent) {
	level := log.InfoLevel
	if n.ID.NeedsAttention() {
		level = log.WarnLevel
	}
	l.out.Log(level, n.ID.String(), "event", int(n.ID), "subject", n.Subject, "detail", n.Detail)
}

// Warn writes an event of the node itself.
func (l *Logger) Warn(id core.LogEventID, subject string, err error) {
	l.out.Warn(id.String(), "event", int(id), "subject", subject, "error", err)
}
