// Package strictjson decodes hand-written JSON files. It reports all problems
// of a file at once, each with its line, its column and a suggestion. It is
// stricter than encoding/json: unknown and duplicate fields, null, trailing
// data and invalid UTF-8 are errors. The tokens are read by encoding/json.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// MaxBytes is the maximum size of a file in bytes.
const MaxBytes = 4 << 20

var byteOrderMark = []byte("\xef\xbb\xbf")

// Document is the parsed content of one file and the problems found in it.
type Document struct {
	// file is the path of the file as given to Parse.
	file string
	// data is the content without a byte order mark.
	data []byte
	// root is the outermost value; nil if the file could not be parsed.
	root     *node
	problems Problems
}

// Parse parses a file. Errors are added to the problems of the document.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, data: data}
	if !d.checkEncoding() {
		return d
	}
	dec := json.NewDecoder(bytes.NewReader(d.data))
	var content json.RawMessage
	if err := dec.Decode(&content); err != nil {
		d.reportSyntaxError(err)
		return d
	}
	d.checkTrailing(int(dec.InputOffset()))
	d.parseNodes()
	return d
}

// File returns the path of the file as given to Parse.
func (d *Document) File() string {
	return d.file
}

// Parsed reports whether the file could be parsed. The document may still have
// problems.
func (d *Document) Parsed() bool {
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

// checkEncoding checks the size and the text encoding of the file, and returns
// whether the file can be parsed.
func (d *Document) checkEncoding() bool {
	if len(d.data) > MaxBytes {
		d.reportError(0, fmt.Sprintf("the file has %d bytes, more than %d", len(d.data), MaxBytes), "a smaller file")
		return false
	}
	if bytes.HasPrefix(d.data, byteOrderMark) {
		d.reportError(0, "the file begins with a byte order mark", "the file as UTF-8 without one")
		d.data = d.data[len(byteOrderMark):]
	}
	if offset := firstInvalidUTF8(d.data); offset >= 0 {
		d.reportError(offset, fmt.Sprintf("byte 0x%02x is not valid UTF-8", d.data[offset]), "the file as UTF-8")
		return false
	}
	if len(bytes.TrimSpace(d.data)) == 0 {
		d.reportError(0, "the file is empty", "an object: { ... }")
		return false
	}
	return true
}

// firstInvalidUTF8 returns the offset of the first byte that is not valid
// UTF-8, or -1.
func firstInvalidUTF8(data []byte) int {
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size <= 1 {
			return offset
		}
		offset += size
	}
	return -1
}

func (d *Document) reportSyntaxError(err error) {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset := max(int(syntaxErr.Offset)-1, 0)
		d.reportError(offset, "invalid JSON: "+syntaxErr.Error(), "valid JSON from here on")
		return
	}
	d.reportError(len(bytes.TrimRight(d.data, " \t\r\n")), "unexpected end of the JSON", "the missing closing braces or brackets")
}

// checkTrailing reports data after the outermost value, which ends at offset end.
func (d *Document) checkTrailing(end int) {
	trailing := bytes.TrimLeft(d.data[end:], " \t\r\n")
	if len(trailing) > 0 {
		d.reportError(len(d.data)-len(trailing), "unexpected data after the end of the JSON value", "only one value in the file")
	}
}

func (d *Document) parseNodes() {
	dec := json.NewDecoder(bytes.NewReader(d.data))
	dec.UseNumber()
	p := parser{dec: dec, data: d.data}
	root, err := p.parseValue()
	if err != nil {
		d.reportSyntaxError(err)
		return
	}
	d.root = root
}

func (d *Document) reportError(offset int, message, suggestion string) {
	d.addProblem(offset, SeverityError, message, suggestion)
}

func (d *Document) addProblem(offset int, severity Severity, message, suggestion string) {
	line, column := d.position(offset)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Column: column, Message: message, Suggestion: suggestion, Severity: severity,
	})
}

// position converts a byte offset to a line and a column, both counted from 1.
// The column counts characters.
func (d *Document) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	return line, column
}
