package strictjson

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity is the severity of a problem. A file with an error must not be used.
type Severity uint8

const (
	// SeverityError means that the file must not be used.
	SeverityError Severity = iota
	// SeverityWarning means that the file can be used but probably contains a
	// mistake.
	SeverityWarning
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == SeverityWarning {
		return "warning"
	}
	return "error"
}

// MarshalText returns the same text as String.
func (s Severity) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Problem is an error or a warning about a file, with its position.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Column counts characters from 1.
	Column int `json:"column"`
	// Message describes what is wrong.
	Message string `json:"what"`
	// Suggestion suggests what to write instead; it completes the sentence "write ...".
	Suggestion string   `json:"write,omitempty"`
	Severity   Severity `json:"severity"`
}

// String returns "file:line:column: what is wrong; write ...", the latter only with a
// suggestion.
func (p Problem) String() string {
	label := ""
	if p.Severity == SeverityWarning {
		label = "warning: "
	}
	text := fmt.Sprintf("%s:%d:%d: %s%s", p.File, p.Line, p.Column, label, p.Message)
	if p.Suggestion == "" {
		return text
	}
	return text + "; write " + p.Suggestion
}

// Problems are the problems of one or more files. Its error text has one line
// for each problem.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns all problems as an error if one of them has SeverityError, and
// nil otherwise.
func (ps Problems) Err() error {
	for _, p := range ps {
		if p.Severity == SeverityError {
			return ps
		}
	}
	return nil
}

// Sort orders the problems by file, line, column and message.
func (ps Problems) Sort() {
	slices.SortFunc(ps, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Message, b.Message),
		)
	})
}
