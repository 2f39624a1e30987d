package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Formatted is a type that is encoded in JSON as a string in a format of its
// own, such as a duration.
type Formatted interface {
	json.Unmarshaler
	// JSONExample describes a valid value for messages, for instance:
	// a duration such as "10s".
	JSONExample() string
}

// Decode stores the document in the value that target points to, by the json
// tags of its fields. Every field whose value has the wrong type is reported
// and left zero. Fields of the outermost object that are named in excluded are
// treated as unknown.
func (d *Document) Decode(target any, excluded ...string) {
	if d.root == nil {
		return
	}
	dec := decoder{doc: d, excluded: excluded}
	dec.decode(d.root, reflect.ValueOf(target).Elem(), "the document")
}

// decoder stores the nodes of a document in Go values.
type decoder struct {
	doc *Document
	// excluded lists the fields of the outermost object treated as unknown.
	excluded []string
}

// decode stores a node in v. label names the value in messages.
func (d *decoder) decode(n *node, v reflect.Value, label string) {
	if formatted, ok := v.Addr().Interface().(Formatted); ok {
		d.decodeFormatted(n, formatted, label)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, label)
	case reflect.Slice:
		d.decodeSlice(n, v, label)
	case reflect.String:
		if d.requireKind(n, kindString, label, "a string in double quotes") {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if d.requireKind(n, kindBool, label, "true or false") {
			v.SetBool(n.boolean)
		}
	case reflect.Int, reflect.Int64:
		d.decodeInt(n, v, label)
	case reflect.Uint64:
		d.decodeUint(n, v, label)
	case reflect.Float64:
		d.decodeFloat(n, v, label)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(n, v.Elem(), label)
	}
}

// requireKind returns whether a node has the kind, and reports it if not.
func (d *decoder) requireKind(n *node, want kind, label, suggestion string) bool {
	if n.kind == want {
		return true
	}
	d.cursor(n).Report(fmt.Sprintf("%s is %s", label, n.kind), suggestion)
	return false
}

func (d *decoder) cursor(n *node) Cursor {
	return Cursor{doc: d.doc, node: n}
}

func (d *decoder) decodeFormatted(n *node, f Formatted, label string) {
	if !d.requireKind(n, kindString, label, f.JSONExample()) {
		return
	}
	if err := f.UnmarshalJSON(d.doc.data[n.start:n.end]); err != nil {
		d.cursor(n).Report(fmt.Sprintf("%s has the invalid value %q", label, n.text), f.JSONExample())
	}
}

func (d *decoder) decodeInt(n *node, v reflect.Value, label string) {
	if !d.requireKind(n, kindNumber, label, "an integer such as 10") {
		return
	}
	number, err := strconv.ParseInt(n.text, 10, v.Type().Bits())
	if err != nil {
		message := fmt.Sprintf("%s is %s, which is not an integer or is out of range", label, n.text)
		d.cursor(n).Report(message, "an integer such as 10")
		return
	}
	v.SetInt(number)
}

func (d *decoder) decodeUint(n *node, v reflect.Value, label string) {
	if !d.requireKind(n, kindNumber, label, "a positive integer such as 10") {
		return
	}
	number, err := strconv.ParseUint(n.text, 10, v.Type().Bits())
	if err != nil {
		message := fmt.Sprintf("%s is %s, which is not a positive integer or is out of range", label, n.text)
		d.cursor(n).Report(message, "a positive integer such as 10")
		return
	}
	v.SetUint(number)
}

func (d *decoder) decodeFloat(n *node, v reflect.Value, label string) {
	if !d.requireKind(n, kindNumber, label, "a number such as 1.5") {
		return
	}
	number, err := strconv.ParseFloat(n.text, 64)
	if err != nil {
		d.cursor(n).Report(fmt.Sprintf("%s is %s, which is out of range", label, n.text), "a number such as 1.5")
		return
	}
	v.SetFloat(number)
}

func (d *decoder) decodeSlice(n *node, v reflect.Value, label string) {
	if !d.requireKind(n, kindArray, label, "an array: [ ... ]") {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decode(item, v.Index(i), fmt.Sprintf("item %d of %s", i+1, label))
	}
}

func (d *decoder) decodeStruct(n *node, v reflect.Value, label string) {
	if !d.requireKind(n, kindObject, label, "an object: { ... }") {
		return
	}
	names := fieldNames(v.Type())
	if n == d.doc.root {
		deleteNames(names, d.excluded)
	}
	seen := make(map[string]bool, len(n.fields))
	for _, f := range n.fields {
		index, known := names[f.name]
		switch {
		case !known:
			d.reportUnknown(f, names)
		case seen[f.name]:
			d.doc.reportError(f.start, fmt.Sprintf("duplicate field %q in this object", f.name), "it once")
		default:
			d.decode(f.value, v.Field(index), fmt.Sprintf("%q", f.name))
		}
		seen[f.name] = true
	}
}

func (d *decoder) reportUnknown(f field, names map[string]int) {
	known := make([]string, 0, len(names))
	for name := range names {
		known = append(known, name)
	}
	slices.Sort(known)
	d.doc.reportError(f.start, fmt.Sprintf("unknown field %q", f.name), Suggest(f.name, known))
}

// fieldNames returns the index of each field of a struct type by its JSON name.
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

func deleteNames(names map[string]int, excluded []string) {
	for _, name := range excluded {
		delete(names, name)
	}
}
