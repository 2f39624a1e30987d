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

// String returns the kind as it is named in messages.
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

// node is one JSON value with its position in the document.
type node struct {
	kind kind
	// start and end are the byte offsets of the value, end exclusive.
	start, end int
	// text is the value of a string or the literal of a number.
	text string
	// boolean is the value of a bool.
	boolean bool
	// fields are the members of an object, duplicates included.
	fields []field
	// items are the values of an array.
	items []*node
	// reported is set once an error at this value was reported.
	reported bool
}

// field is one member of an object.
type field struct {
	name string
	// start is the byte offset of the name.
	start int
	value *node
}

// field returns the value of the first field with that name, or nil.
func (n *node) field(name string) *node {
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

// parser builds nodes from the token stream of encoding/json.
type parser struct {
	dec  *json.Decoder
	data []byte
	// end is the byte offset after the last token.
	end int
}

// nextToken returns the next token and the offset of its first byte.
func (p *parser) nextToken() (json.Token, int, error) {
	start := p.end
	for start < len(p.data) && isSeparator(p.data[start]) {
		start++
	}
	token, err := p.dec.Token()
	p.end = int(p.dec.InputOffset())
	return token, start, err
}

// isSeparator reports whether a byte may occur between tokens.
func isSeparator(b byte) bool {
	switch b {
	case ' ', '\t', '\r', '\n', ',', ':':
		return true
	}
	return false
}

// parseValue parses one value.
func (p *parser) parseValue() (*node, error) {
	token, start, err := p.nextToken()
	if err != nil {
		return nil, err
	}
	n := &node{start: start}
	switch t := token.(type) {
	case json.Delim:
		err = p.parseComposite(n, t)
	case string:
		n.kind, n.text = kindString, t
	case json.Number:
		n.kind, n.text = kindNumber, t.String()
	case bool:
		n.kind, n.boolean = kindBool, t
	}
	n.end = p.end
	return n, err
}

// parseComposite parses the members of an object or array and its closing
// delimiter.
func (p *parser) parseComposite(n *node, open json.Delim) error {
	n.kind = kindArray
	if open == '{' {
		n.kind = kindObject
	}
	for p.dec.More() {
		if err := p.parseMember(n); err != nil {
			return err
		}
	}
	_, _, err := p.nextToken()
	return err
}

// parseMember parses one field of an object or one item of an array.
func (p *parser) parseMember(n *node) error {
	var f field
	if n.kind == kindObject {
		token, start, err := p.nextToken()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.Wrap(io.ErrUnexpectedEOF, "object without a field name")
		}
		f.name, f.start = name, start
	}
	value, err := p.parseValue()
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
