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

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// logLine is one log event about a job.
type logLine struct {
	Time    string `json:"time"`
	Node    string `json:"node"`
	Event   int    `json:"event"`
	Message string `json:"what"`
	// Fields are the remaining fields as name=value, sorted by name.
	Fields []string `json:"inputs"`
}

// explainJob merges the log events about a job from several nodes' logs and
// prints them in the order of their timestamps.
func (e *Explain) explainJob() error {
	var lines []logLine
	for _, path := range e.Log {
		fileLines, err := readJobLines(path, e.Job)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	if len(lines) == 0 {
		return errors.Newf("no log event about job %s in %s", e.Job, strings.Join(e.Log, ", "))
	}
	rows := make([]string, len(lines))
	for i, l := range lines {
		rows[i] = fmt.Sprintf("%s  %-16s %d %-22s %s", l.Time, l.Node, l.Event, l.Message, strings.Join(l.Fields, " "))
	}
	return e.print(lines, rows)
}

// readJobLines returns the events about a job from one log; path "-" reads
// standard input.
func readJobLines(path, job string) ([]logLine, error) {
	var input io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		defer file.Close()
		input = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		// The JSON may follow a prefix, such as a node's name.
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, job) {
			continue
		}
		if line, ok := parseLogLine(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "log %s", path)
}

// parseLogLine parses the JSON of a log line. It returns false if the JSON is
// invalid, has no message, or its event is not an integer.
func parseLogLine(text string) (logLine, bool) {
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return logLine{}, false
	}
	var line logLine
	line.Time, _ = fields["time"].(string)
	line.Node, _ = fields["node"].(string)
	line.Message, _ = fields["msg"].(string)
	if number, ok := fields["event"].(json.Number); ok {
		event, err := number.Int64()
		if err != nil {
			return logLine{}, false
		}
		line.Event = int(event)
	}
	for name, value := range fields {
		if !slices.Contains([]string{"time", "node", "msg", "event", "level"}, name) {
			line.Fields = append(line.Fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(line.Fields)
	return line, line.Message != ""
}
