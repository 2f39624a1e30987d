package strictjson

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity tells whether a problem keeps a file from being used.
type Severity uint8

const (
	// SeverityError means that the file must not be used.
	SeverityError Severity = iota
	// SeverityWarning means that the file can be used but is probably not meant so.
	SeverityWarning
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == SeverityWarning {
		return "warning"
	}
	return "error"
}

// MarshalText writes the severity as String does.
func (s Severity) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Problem is one fault of a file, at its place.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Column counts characters from 1.
	Column int `json:"column"`
	// What says what is wrong.
	What string `json:"what"`
	// Write says what to write in its place.
	Write    string   `json:"write"`
	Severity Severity `json:"severity"`
}

// String returns "file:line:column: what is wrong; write ...".
func (p Problem) String() string {
	label := ""
	if p.Severity == SeverityWarning {
		label = "warning: "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s; write %s", p.File, p.Line, p.Column, label, p.What, p.Write)
}

// Problems are the faults of one or more files. As an error it prints one
// fault a line.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error if one of them is more than a warning,
// and nil otherwise.
func (ps Problems) Err() error {
	for _, p := range ps {
		if p.Severity == SeverityError {
			return ps
		}
	}
	return nil
}

// Sort orders the problems by file, place and text.
func (ps Problems) Sort() {
	slices.SortFunc(ps, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.What, b.What),
		)
	})
}
