package eventlog

import (
	"io"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/settings"
)

const (
	// queuedLines is how many lines wait for the output before lines are left
	// out.
	queuedLines = 2048
	// linesPerSecond bounds the lines of one event, and routineLines those of
	// the events that every run has.
	linesPerSecond = 300
	routineLines   = 60
	// budgetWindow is the time that a bound counts for.
	budgetWindow = time.Second
)

// routine holds the events that come with every run that goes well.
var routine = map[job.LogEventID]bool{job.LogRunStarted: true, job.LogRunEnded: true, job.LogJobAccepted: true}

// Numbered lines of the process itself.
const (
	eventStarted  = 690
	eventStopped  = 691
	eventReloaded = 692
	eventLeftOut  = 693
)

var processEvents = map[int]string{
	eventStarted: "process started", eventStopped: "process stopped", eventReloaded: "settings read again",
	eventLeftOut: "lines left out",
}

// ProcessEvents returns the numbered lines of the process with their texts.
func ProcessEvents() map[int]string { return maps.Clone(processEvents) }

// Jobs writes the numbered lines of the jobs side as JSON. It never blocks its
// caller: what the output does not take, or what exceeds an event's bound, is
// left out and counted.
type Jobs struct {
	out *log.Logger
	// at is the time of the line that is being written.
	at    time.Time
	lines chan line
	ended chan struct{}
	// leftOut counts the lines that were left out.
	leftOut atomic.Uint64

	mu     sync.Mutex
	window time.Time
	counts map[job.LogEventID]int
}

type line struct {
	at     time.Time
	text   string
	event  int
	fields []any
}

// NewJobs returns a logger that writes lines for the named node to w.
func NewJobs(w io.Writer, node string) *Jobs {
	l := &Jobs{lines: make(chan line, queuedLines), ended: make(chan struct{}), counts: map[job.LogEventID]int{}}
	l.out = log.NewWithOptions(w, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: timeFormat,
		// Lines carry the time at which they were put, not written.
		TimeFunction: func(time.Time) time.Time { return l.at },
	}).With("node", node)
	go l.write()
	return l
}

func (l *Jobs) write() {
	defer close(l.ended)
	ticker := time.NewTicker(budgetWindow)
	defer ticker.Stop()
	told := uint64(0)
	for {
		select {
		case next, open := <-l.lines:
			if !open {
				return
			}
			l.print(next)
		case <-ticker.C:
			if n := l.leftOut.Load(); n != told {
				l.print(line{time.Now(), processEvents[eventLeftOut], eventLeftOut, []any{"lines", n - told, "total", n}})
				told = n
			}
		}
	}
}

// timeFormat is that of the time of a line.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func (l *Jobs) print(n line) {
	l.at = n.at
	l.out.Info(n.text, append([]any{"event", n.event}, n.fields...)...)
}

// LeftOut is the number of lines that were left out.
func (l *Jobs) LeftOut() uint64 { return l.leftOut.Load() }

// Write writes one line, if the event's bound allows it.
func (l *Jobs) Write(n job.LogEvent) {
	if !l.within(n.ID) {
		l.leftOut.Add(1)
		return
	}
	l.put(line{time.Now(), n.ID.String(), int(n.ID), n.Fields})
}

func (l *Jobs) put(n line) {
	select {
	case l.lines <- n:
	default:
		l.leftOut.Add(1)
	}
}

// within counts a line against its event's bound.
func (l *Jobs) within(id job.LogEventID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.window) >= budgetWindow {
		l.window = now
		clear(l.counts)
	}
	l.counts[id]++
	if routine[id] {
		return l.counts[id] <= routineLines
	}
	return l.counts[id] <= linesPerSecond
}

// Started writes the line of a process's start.
func (l *Jobs) Started(strength settings.PositiveNumber, memory int64) {
	l.put(line{time.Now(), processEvents[eventStarted], eventStarted, []any{"strength", float64(strength), "memory_mib", memory}})
}

// Stopped writes the line of a process's end and waits for the output.
func (l *Jobs) Stopped(err error) {
	l.put(line{time.Now(), processEvents[eventStopped], eventStopped, []any{"error", err}})
	close(l.lines)
	<-l.ended
}

// Reloaded writes the line of a settings file that was read again.
func (l *Jobs) Reloaded(err error, changed bool) {
	l.put(line{time.Now(), processEvents[eventReloaded], eventReloaded, []any{"changed", changed, "error", err}})
}
