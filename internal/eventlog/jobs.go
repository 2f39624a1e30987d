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
	// maxQueuedLines is the number of lines that may wait for the output; further
	// lines are dropped.
	maxQueuedLines = 2048
	// maxLinesPerSecond is the rate limit of each event, and
	// maxRoutineLinesPerSecond that of each routine event.
	maxLinesPerSecond        = 300
	maxRoutineLinesPerSecond = 60
	// rateWindow is the time over which the lines of an event are counted.
	rateWindow = time.Second
)

// routineEvents occur even if every job succeeds; their rate limit is lower.
var routineEvents = map[job.LogEventID]bool{job.LogRunStarted: true, job.LogRunEnded: true, job.LogJobAccepted: true}

// Numbers of the log events of the process itself.
const (
	eventStarted          = 690
	eventStopped          = 691
	eventSettingsReloaded = 692
	eventLinesDropped     = 693
)

var processEventTexts = map[int]string{
	eventStarted: "process started", eventStopped: "process stopped", eventSettingsReloaded: "settings reloaded",
	eventLinesDropped: "log lines dropped",
}

// ProcessEvents returns the texts of the log events of the process, by number.
func ProcessEvents() map[int]string { return maps.Clone(processEventTexts) }

// JobLogger writes the log events of a process that runs jobs as JSON lines. It never
// blocks its caller: lines that exceed the rate limit of their event or that the
// output is too slow for are dropped and counted.
type JobLogger struct {
	out *log.Logger
	// lineTime is the time of the line being written; only writeLines uses it.
	lineTime   time.Time
	queue      chan line
	writerDone chan struct{}
	// dropped counts the lines that were dropped.
	dropped atomic.Uint64

	mu          sync.Mutex
	windowStart time.Time
	lineCounts  map[job.LogEventID]int
}

type line struct {
	queuedAt time.Time
	text     string
	event    int
	fields   []any
}

// NewJobLogger returns a logger that writes to w and adds the node's name to each
// line.
func NewJobLogger(w io.Writer, node string) *JobLogger {
	l := &JobLogger{queue: make(chan line, maxQueuedLines), writerDone: make(chan struct{}), lineCounts: map[job.LogEventID]int{}}
	l.out = log.NewWithOptions(w, log.Options{
		Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: timeFormat,
		// A line has the time at which it was queued, not written.
		TimeFunction: func(time.Time) time.Time { return l.lineTime },
	}).With("node", node)
	go l.writeLines()
	return l
}

// writeLines writes queued lines until the queue is closed. Once per rateWindow it
// writes the number of lines dropped since the last such line, if there were any.
func (l *JobLogger) writeLines() {
	defer close(l.writerDone)
	ticker := time.NewTicker(rateWindow)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case next, ok := <-l.queue:
			if !ok {
				return
			}
			l.writeLine(next)
		case <-ticker.C:
			if total := l.dropped.Load(); total != reported {
				l.writeLine(line{time.Now(), processEventTexts[eventLinesDropped], eventLinesDropped, []any{"lines", total - reported, "total", total}})
				reported = total
			}
		}
	}
}

// timeFormat is the format of the time of a line.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func (l *JobLogger) writeLine(next line) {
	l.lineTime = next.queuedAt
	l.out.Info(next.text, append([]any{"event", next.event}, next.fields...)...)
}

// DroppedLines returns the number of lines dropped so far.
func (l *JobLogger) DroppedLines() uint64 { return l.dropped.Load() }

// Write queues a line for the event, unless the event's rate limit drops it.
func (l *JobLogger) Write(e job.LogEvent) {
	if !l.withinRateLimit(e.ID) {
		l.dropped.Add(1)
		return
	}
	l.enqueue(line{time.Now(), e.ID.String(), int(e.ID), e.Fields})
}

// enqueue queues a line, or drops it if the queue is full.
func (l *JobLogger) enqueue(next line) {
	select {
	case l.queue <- next:
	default:
		l.dropped.Add(1)
	}
}

// withinRateLimit counts a line of the event and reports whether the rate limit
// allows it.
func (l *JobLogger) withinRateLimit(id job.LogEventID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.windowStart) >= rateWindow {
		l.windowStart = now
		clear(l.lineCounts)
	}
	l.lineCounts[id]++
	if routineEvents[id] {
		return l.lineCounts[id] <= maxRoutineLinesPerSecond
	}
	return l.lineCounts[id] <= maxLinesPerSecond
}

// Started logs the start of the process.
func (l *JobLogger) Started(cpuShare settings.PositiveNumber, memoryMiB int64) {
	l.enqueue(line{time.Now(), processEventTexts[eventStarted], eventStarted, []any{"strength", float64(cpuShare), "memory_mib", memoryMiB}})
}

// Stopped logs the end of the process and waits until all queued lines are
// written. The logger must not be used afterwards.
func (l *JobLogger) Stopped(err error) {
	l.enqueue(line{time.Now(), processEventTexts[eventStopped], eventStopped, []any{"error", err}})
	close(l.queue)
	<-l.writerDone
}

// Reloaded logs that the settings file was read again.
func (l *JobLogger) Reloaded(err error, changed bool) {
	l.enqueue(line{time.Now(), processEventTexts[eventSettingsReloaded], eventSettingsReloaded, []any{"changed", changed, "error", err}})
}
