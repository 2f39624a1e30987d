// Package eventlog writes log events to the process's log: those of core as
// logfmt, those of core/job and of the process itself as JSON. Each has a number;
// docs/LOG-EVENTS.md explains it.
package eventlog

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/sardinehead/sardinehead/internal/core"
)

// Logger writes log events as logfmt lines. It implements node.EventLog.
type Logger struct {
	out *log.Logger
}

// New returns a logger that writes to w and adds the node's name to each line.
func New(w io.Writer, node string) *Logger {
	out := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return &Logger{out: out.With("node", node)}
}

// Write writes a log event of the reducer, as a warning if it needs attention.
func (l *Logger) Write(e core.LogEvent) {
	level := log.InfoLevel
	if e.ID.NeedsAttention() {
		level = log.WarnLevel
	}
	l.out.Log(level, e.ID.String(), "event", int(e.ID), "subject", e.Subject, "detail", e.Detail)
}

// Warn writes a log event about an error outside the reducer.
func (l *Logger) Warn(id core.LogEventID, subject string, err error) {
	l.out.Warn(id.String(), "event", int(id), "subject", subject, "error", err)
}
