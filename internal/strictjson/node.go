package strictjson

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// kind is the type of a JSON value.
type kind uint8

const (
	kindNull kind = iota
	kindObject
	kindArray
	kindString
	kindNumber
	kindBool
)

// String names the kind as in messages.
func (k kind) String() string {
	switch k {
	case kindObject:
		return "an object"
	case kindArray:
		return "an array"
	case kindString:
		return "a string"
	case kindNumber:
		return "a number"
	case kindBool:
		return "true or false"
	default:
		return "null"
	}
}

// node is one JSON value with its place in the document.
type node struct {
	kind kind
	// start and end are byte offsets in the document, end exclusive.
	start, end int
	// text is the value of a string or the literal of a number.
	text string
	// truth is the value of a bool.
	truth  bool
	fields []field
	items  []*node
	// reported is set once a problem of this value was reported.
	reported bool
}

// field is one member of an object.
type field struct {
	name  string
	start int
	value *node
}

// lookup returns the first field of that name, or nil.
func (n *node) lookup(name string) *node {
	if n == nil {
		return nil
	}
	for _, f := range n.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

// reader builds nodes from the token stream of encoding/json.
type reader struct {
	dec  *json.Decoder
	data []byte
	// end is the byte offset after the last token.
	end int
}

// next returns the next token and the offset of its first byte.
func (r *reader) next() (json.Token, int, error) {
	start := r.end
	for start < len(r.data) && isBetweenTokens(r.data[start]) {
		start++
	}
	token, err := r.dec.Token()
	r.end = int(r.dec.InputOffset())
	return token, start, err
}

func isBetweenTokens(b byte) bool {
	switch b {
	case ' ', '\t', '\r', '\n', ',', ':':
		return true
	}
	return false
}

// value reads one value.
func (r *reader) value() (*node, error) {
	token, start, err := r.next()
	if err != nil {
		return nil, err
	}
	n := &node{start: start}
	switch t := token.(type) {
	case json.Delim:
		err = r.composite(n, t)
	case string:
		n.kind, n.text = kindString, t
	case json.Number:
		n.kind, n.text = kindNumber, t.String()
	case bool:
		n.kind, n.truth = kindBool, t
	}
	n.end = r.end
	return n, err
}

// composite reads the members of an object or array and its closing delimiter.
func (r *reader) composite(n *node, open json.Delim) error {
	n.kind = kindArray
	if open == '{' {
		n.kind = kindObject
	}
	for r.dec.More() {
		if err := r.member(n); err != nil {
			return err
		}
	}
	_, _, err := r.next()
	return err
}

func (r *reader) member(n *node) error {
	var f field
	if n.kind == kindObject {
		token, start, err := r.next()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.Wrap(io.ErrUnexpectedEOF, "object without a field name")
		}
		f.name, f.start = name, start
	}
	value, err := r.value()
	if err != nil {
		return err
	}
	if n.kind == kindArray {
		n.items = append(n.items, value)
		return nil
	}
	f.value = value
	n.fields = append(n.fields, f)
	return nil
}
