package strictjson

import "fmt"

// Cursor refers to a value of a document, or to an absent value. Code that
// validates decoded values uses it to report problems with their location.
type Cursor struct {
	doc  *Document
	node *node
}

// Field returns the cursor on a field of this object. The cursor refers to an
// absent value if there is no such field.
func (c Cursor) Field(name string) Cursor {
	return Cursor{doc: c.doc, node: c.node.field(name)}
}

// Index returns the cursor on an item of this array. The cursor refers to an
// absent value if there is no such item.
func (c Cursor) Index(i int) Cursor {
	if c.node == nil || i >= len(c.node.items) {
		return Cursor{doc: c.doc}
	}
	return Cursor{doc: c.doc, node: c.node.items[i]}
}

// Present reports whether the document contains this value.
func (c Cursor) Present() bool {
	return c.node != nil
}

// Location returns the location of the value as "file:line", for messages about
// other values that refer to it.
func (c Cursor) Location() string {
	if c.node == nil {
		return c.doc.file
	}
	line, _ := c.doc.position(c.node.start)
	return fmt.Sprintf("%s:%d", c.doc.file, line)
}

// Report adds an error at this value. It does nothing if the value is absent or
// already has an error, so that one mistake gives one message.
func (c Cursor) Report(message, suggestion string) {
	if c.node == nil || c.node.reported {
		return
	}
	c.node.reported = true
	c.doc.addProblem(c.node.start, SeverityError, message, suggestion)
}

// Warn adds a warning at this value, under the same conditions as Report.
func (c Cursor) Warn(message, suggestion string) {
	if c.node == nil || c.node.reported {
		return
	}
	c.doc.addProblem(c.node.start, SeverityWarning, message, suggestion)
}

// Require reports a field that is missing from this object, at the start of
// the object. suggestion is an example of the field.
func (c Cursor) Require(name, suggestion string) {
	if c.node == nil || c.node.kind != kindObject || c.Field(name).Present() {
		return
	}
	c.doc.reportError(c.node.start, fmt.Sprintf("the field %q is missing", name), suggestion)
}
