package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Formatted is a type that JSON holds as a string of its own format, such as a
// duration.
type Formatted interface {
	json.Unmarshaler
	// JSONExample says what to write, for instance: a duration such as "10s".
	JSONExample() string
}

// Decode stores the document in the value that into points to, by the json
// tags of its fields. Every field that does not fit is reported and left zero.
// Fields of the outermost object named in hidden count as unknown.
func (d *Document) Decode(into any, hidden ...string) {
	if d.root == nil {
		return
	}
	b := binder{doc: d, hidden: hidden}
	b.bind(d.root, reflect.ValueOf(into).Elem(), "the document")
}

type binder struct {
	doc    *Document
	hidden []string
}

// bind stores a node in v. label names the value in messages.
func (b *binder) bind(n *node, v reflect.Value, label string) {
	if formatted, ok := v.Addr().Interface().(Formatted); ok {
		b.bindFormatted(n, formatted, label)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		b.bindStruct(n, v, label)
	case reflect.Slice:
		b.bindSlice(n, v, label)
	case reflect.String:
		if b.expect(n, kindString, label, "a string in double quotes") {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if b.expect(n, kindBool, label, "true or false") {
			v.SetBool(n.truth)
		}
	case reflect.Int, reflect.Int64:
		b.bindInt(n, v, label)
	}
}

// expect reports a value of the wrong type.
func (b *binder) expect(n *node, want kind, label, write string) bool {
	if n.kind == want {
		return true
	}
	b.at(n).Report(fmt.Sprintf("%s is %s", label, n.kind), write)
	return false
}

func (b *binder) at(n *node) Cursor {
	return Cursor{doc: b.doc, node: n}
}

func (b *binder) bindFormatted(n *node, f Formatted, label string) {
	if !b.expect(n, kindString, label, f.JSONExample()) {
		return
	}
	if err := f.UnmarshalJSON(b.doc.data[n.start:n.end]); err != nil {
		b.at(n).Report(fmt.Sprintf("%s cannot be %q", label, n.text), f.JSONExample())
	}
}

func (b *binder) bindInt(n *node, v reflect.Value, label string) {
	if !b.expect(n, kindNumber, label, "a whole number such as 10") {
		return
	}
	number, err := strconv.ParseInt(n.text, 10, v.Type().Bits())
	if err != nil {
		what := fmt.Sprintf("%s is %s, which is not a whole number of a usable size", label, n.text)
		b.at(n).Report(what, "a whole number such as 10")
		return
	}
	v.SetInt(number)
}

func (b *binder) bindSlice(n *node, v reflect.Value, label string) {
	if !b.expect(n, kindArray, label, "an array: [ ... ]") {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		b.bind(item, v.Index(i), fmt.Sprintf("item %d of %s", i+1, label))
	}
}

func (b *binder) bindStruct(n *node, v reflect.Value, label string) {
	if !b.expect(n, kindObject, label, "an object: { ... }") {
		return
	}
	names := fieldNames(v.Type())
	if n == b.doc.root {
		hide(names, b.hidden)
	}
	seen := make(map[string]bool, len(n.fields))
	for _, f := range n.fields {
		index, known := names[f.name]
		switch {
		case !known:
			b.reportUnknown(f, names)
		case seen[f.name]:
			b.doc.report(f.start, fmt.Sprintf("the field %q stands twice in this object", f.name), "it once")
		default:
			b.bind(f.value, v.Field(index), fmt.Sprintf("%q", f.name))
		}
		seen[f.name] = true
	}
}

func (b *binder) reportUnknown(f field, names map[string]int) {
	known := make([]string, 0, len(names))
	for name := range names {
		known = append(known, name)
	}
	slices.Sort(known)
	b.doc.report(f.start, fmt.Sprintf("unknown field %q", f.name), OneOf(f.name, known))
}

// fieldNames returns the index of each struct field by its JSON name.
func fieldNames(t reflect.Type) map[string]int {
	names := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			names[name] = i
		}
	}
	return names
}

func hide(names map[string]int, hidden []string) {
	for _, name := range hidden {
		delete(names, name)
	}
}
