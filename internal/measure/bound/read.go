package bound

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Numbers of the log events that describe a day. docs/LOG-EVENTS.md has their fields.
const (
	eventJobFinished = 613
	eventPoolState   = 624
)

// maxLineBytes bounds a line of the log.
const maxLineBytes = 1 << 20

// stateCompleted is the value of the field state of a job that has completed.
const stateCompleted = "d"

// Job is a job of a recorded day that has run to completion. Jobs that failed or were cancelled are
// left out, and so are those that had not ended when the log did.
type Job struct {
	ID, Pool string
	// Arrival is the time of day of the acceptance.
	Arrival time.Time
	// Work is the sum of the tasks' run times, in core-seconds, Value what it is worth on time.
	Work, Value float64
	// Chain is the run time of the longest chain of dependent steps, Objective the time after the
	// arrival within which the job should complete.
	Chain, Objective time.Duration
	// Took is the time from the arrival to the end.
	Took time.Duration
}

// onTime reports whether the job met its objective.
func (j *Job) onTime() bool { return j.Took <= j.Objective }

// Supply is the capacity of a pool for tasks that run to completion, as of one moment.
type Supply struct {
	At    time.Time
	Pool  string
	Cores float64
}

// Day is a recorded day.
type Day struct {
	Jobs   []Job
	Supply []Supply
}

// line is a line of the log, with the fields of both events.
type line struct {
	Time  time.Time `json:"time"`
	Event int       `json:"event"`
	Pool  string    `json:"pool"`

	Job         string  `json:"job"`
	State       string  `json:"state"`
	TookMS      int64   `json:"ms"`
	Work        float64 `json:"core_s"`
	Value       float64 `json:"value"`
	ChainMS     int64   `json:"chain_ms"`
	ObjectiveMS int64   `json:"objective_ms"`

	Machines    int     `json:"machines"`
	Usable      int     `json:"usable"`
	Room        float64 `json:"room"`
	LongRunning float64 `json:"lasting"`
}

// Read reads a day from the logs of all nodes, one JSON object a line. What comes before the object is
// skipped, as are lines without one and other events.
func Read(r io.Reader) (Day, error) {
	var day Day
	seen := map[string]bool{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 || !bytes.Contains(text, []byte(`"event":`)) {
			continue
		}
		var l line
		if err := json.Unmarshal(text[begin:], &l); err != nil {
			if isOtherEvent(text[begin:]) {
				continue
			}
			return Day{}, errors.Wrapf(err, "line %d", number)
		}
		switch {
		case l.Event == eventJobFinished && l.State == stateCompleted && l.Work > 0 && !seen[l.Job]:
			seen[l.Job] = true
			took := time.Duration(l.TookMS) * time.Millisecond
			day.Jobs = append(day.Jobs, Job{
				ID: l.Job, Pool: l.Pool, Arrival: l.Time.Add(-took), Work: l.Work, Value: l.Value,
				Chain: time.Duration(l.ChainMS) * time.Millisecond, Objective: time.Duration(l.ObjectiveMS) * time.Millisecond,
				Took: took,
			})
		case l.Event == eventPoolState && l.Machines > 0:
			cores := (l.Room*float64(l.Usable)/float64(l.Machines) - l.LongRunning) / milli
			day.Supply = append(day.Supply, Supply{At: l.Time, Pool: l.Pool, Cores: max(0, cores)})
		}
	}
	return day, errors.Wrap(scanner.Err(), "reading the log")
}

// milli is the number of millicores in a core.
const milli = 1000

// isOtherEvent reports whether a line that does not decode is of an event that is not read here: its
// fields may have the same names and other types.
func isOtherEvent(object []byte) bool {
	var l struct {
		Event int `json:"event"`
	}
	err := json.Unmarshal(object, &l)
	return err == nil && l.Event != eventJobFinished && l.Event != eventPoolState
}
