package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// logLine is one line of a log that concerns a job.
type logLine struct {
	Time  string `json:"time"`
	Node  string `json:"node"`
	Event int    `json:"event"`
	What  string `json:"what"`
	// Inputs are the other fields, sorted by name.
	Inputs []string `json:"inputs"`
}

// explainJob prints the history of a job from the logs of several nodes, in the
// order of time.
func (e *Explain) explainJob() error {
	var lines []logLine
	for _, path := range e.Log {
		found, err := jobLines(path, e.Job)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	if len(lines) == 0 {
		return errors.Newf("no line on job %s in %s", e.Job, strings.Join(e.Log, ", "))
	}
	texts := make([]string, len(lines))
	for i, l := range lines {
		texts[i] = fmt.Sprintf("%s  %-16s %d %-22s %s", l.Time, l.Node, l.Event, l.What, strings.Join(l.Inputs, " "))
	}
	return e.print(lines, texts)
}

// jobLines returns the lines on a job of one log; "-" is standard input.
func jobLines(path, job string) ([]logLine, error) {
	var from io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		defer file.Close()
		from = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		// A line may have something before its JSON, such as a node's name.
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, job) {
			continue
		}
		if line, ok := parseLine(text[begin:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log %s", path)
}

func parseLine(text string) (logLine, bool) {
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return logLine{}, false
	}
	var line logLine
	line.Time, _ = fields["time"].(string)
	line.Node, _ = fields["node"].(string)
	line.What, _ = fields["msg"].(string)
	if number, ok := fields["event"].(json.Number); ok {
		event, err := number.Int64()
		if err != nil {
			return logLine{}, false
		}
		line.Event = int(event)
	}
	for name, value := range fields {
		if !slices.Contains([]string{"time", "node", "msg", "event", "level"}, name) {
			line.Inputs = append(line.Inputs, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(line.Inputs)
	return line, line.What != ""
}
