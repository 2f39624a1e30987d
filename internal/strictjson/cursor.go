package strictjson

import "fmt"

// Cursor points at a value of a document, or at nothing if the value is absent.
// Checks of meaning use it to report a problem at the value's place.
type Cursor struct {
	doc  *Document
	node *node
}

// Field returns the cursor on a field of this object.
func (c Cursor) Field(name string) Cursor {
	return Cursor{doc: c.doc, node: c.node.lookup(name)}
}

// Index returns the cursor on an item of this array.
func (c Cursor) Index(i int) Cursor {
	if c.node == nil || i >= len(c.node.items) {
		return Cursor{doc: c.doc}
	}
	return Cursor{doc: c.doc, node: c.node.items[i]}
}

// Present reports whether the document has this value.
func (c Cursor) Present() bool {
	return c.node != nil
}

// Place returns "file:line" of the value, for messages that point back to it.
func (c Cursor) Place() string {
	if c.node == nil {
		return c.doc.file
	}
	line, _ := c.doc.position(c.node.start)
	return fmt.Sprintf("%s:%d", c.doc.file, line)
}

// Report adds an error at this value. It does nothing if the value is absent or
// has been reported before, so that one fault gives one message.
func (c Cursor) Report(what, write string) {
	if c.node == nil || c.node.reported {
		return
	}
	c.node.reported = true
	c.doc.add(c.node.start, SeverityError, what, write)
}

// Warn adds a warning at this value, under the same conditions as Report.
func (c Cursor) Warn(what, write string) {
	if c.node == nil || c.node.reported {
		return
	}
	c.doc.add(c.node.start, SeverityWarning, what, write)
}

// Require reports a field that this object lacks. write is an example of the
// field. It reports at the start of the object.
func (c Cursor) Require(name, write string) {
	if c.node == nil || c.node.kind != kindObject || c.Field(name).Present() {
		return
	}
	c.doc.report(c.node.start, fmt.Sprintf("the field %q is missing", name), write)
}
