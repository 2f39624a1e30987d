// Package strictjson decodes JSON files that people write. It reports all
// faults of a file at once, each with line, column and what to write instead,
// and refuses what encoding/json lets pass: unknown and doubled fields, null,
// trailing bytes, bytes that are not UTF-8. The syntax itself is read by
// encoding/json.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// MaxBytes is the size in bytes above which a file is refused.
const MaxBytes = 4 << 20

var byteOrderMark = []byte("\xef\xbb\xbf")

// Document is one file together with the problems found in it.
type Document struct {
	file     string
	data     []byte
	root     *node
	problems Problems
}

// Parse reads the syntax of a file. Faults are kept in the document.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, data: data}
	if !d.checkBytes() {
		return d
	}
	dec := json.NewDecoder(bytes.NewReader(d.data))
	var whole json.RawMessage
	if err := dec.Decode(&whole); err != nil {
		d.reportSyntax(err)
		return d
	}
	d.checkTrailing(int(dec.InputOffset()))
	d.readNodes()
	return d
}

// File returns the name of the file.
func (d *Document) File() string {
	return d.file
}

// OK reports whether the syntax of the file could be read.
func (d *Document) OK() bool {
	return d.root != nil
}

// Problems returns the problems found so far.
func (d *Document) Problems() Problems {
	return d.problems
}

// Root returns the cursor on the outermost value.
func (d *Document) Root() Cursor {
	return Cursor{doc: d, node: d.root}
}

// checkBytes reports faults below the level of JSON and whether to go on.
func (d *Document) checkBytes() bool {
	if len(d.data) > MaxBytes {
		d.report(0, fmt.Sprintf("the file has %d bytes, more than %d", len(d.data), MaxBytes), "a smaller file")
		return false
	}
	if bytes.HasPrefix(d.data, byteOrderMark) {
		d.report(0, "the file begins with a byte order mark", "the file as UTF-8 without one")
		d.data = d.data[len(byteOrderMark):]
	}
	if at := firstInvalid(d.data); at >= 0 {
		d.report(at, fmt.Sprintf("byte 0x%02x is not UTF-8", d.data[at]), "the file as UTF-8")
		return false
	}
	if len(bytes.TrimSpace(d.data)) == 0 {
		d.report(0, "the file is empty", "an object: { ... }")
		return false
	}
	return true
}

// firstInvalid returns the offset of the first byte that is not UTF-8, or -1.
func firstInvalid(data []byte) int {
	for at := 0; at < len(data); {
		r, size := utf8.DecodeRune(data[at:])
		if r == utf8.RuneError && size <= 1 {
			return at
		}
		at += size
	}
	return -1
}

func (d *Document) reportSyntax(err error) {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		at := max(int(syntax.Offset)-1, 0)
		d.report(at, "the JSON is broken: "+syntax.Error(), "valid JSON from here on")
		return
	}
	d.report(len(bytes.TrimRight(d.data, " \t\r\n")), "the JSON ends too early", "the missing closing braces or brackets")
}

func (d *Document) checkTrailing(end int) {
	rest := bytes.TrimLeft(d.data[end:], " \t\r\n")
	if len(rest) > 0 {
		d.report(len(d.data)-len(rest), "there is more after the end of the document", "only one value in the file")
	}
}

func (d *Document) readNodes() {
	dec := json.NewDecoder(bytes.NewReader(d.data))
	dec.UseNumber()
	r := reader{dec: dec, data: d.data}
	root, err := r.value()
	if err != nil {
		d.reportSyntax(err)
		return
	}
	d.root = root
}

func (d *Document) report(at int, what, write string) {
	d.add(at, SeverityError, what, write)
}

func (d *Document) add(at int, severity Severity, what, write string) {
	line, column := d.position(at)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Column: column, What: what, Write: write, Severity: severity,
	})
}

// position converts a byte offset to line and column.
func (d *Document) position(at int) (line, column int) {
	before := d.data[:min(at, len(d.data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	return line, column
}
