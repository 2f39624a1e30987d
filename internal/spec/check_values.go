package spec

import (
	"fmt"
	"strings"
	"time"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// nameCharacters are the characters of names: those that stand in a URL path
// without escaping.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"

// checkName reports a name that cannot stand in a URL path.
func checkName(at strictjson.Cursor, name string) {
	write := `a name of letters, digits and -._~ such as "orders"`
	switch {
	case name == "":
		at.Report("the name is empty", write)
	case name == "." || name == "..":
		at.Report(fmt.Sprintf("%q is not a name", name), write)
	case len(name) > maxNameLength:
		at.Report(fmt.Sprintf("the name has %d characters", len(name)),
			fmt.Sprintf("a name of at most %d characters", maxNameLength))
	case strings.Trim(name, nameCharacters) != "":
		bad := strings.TrimLeft(name, nameCharacters)
		at.Report(fmt.Sprintf("the name %q has %q, which cannot stand in a URL path", name, []rune(bad)[0]), write)
	}
}

// checkRange reports a number outside its bounds.
func checkRange(at strictjson.Cursor, field string, value, low, high int64) {
	if value < low {
		at.Report(fmt.Sprintf("%q is %d", field, value), fmt.Sprintf("at least %d", low))
	}
	if value > high {
		at.Report(fmt.Sprintf("%q is %d", field, value), fmt.Sprintf("at most %d", high))
	}
}

// checkDuration reports a duration outside its bounds.
func checkDuration(at strictjson.Cursor, field string, value Duration, low, high time.Duration) {
	if value.D() < low {
		at.Report(fmt.Sprintf("%q is %s", field, value.D()), fmt.Sprintf("at least %q", low))
	}
	if value.D() > high {
		at.Report(fmt.Sprintf("%q is %s", field, value.D()), fmt.Sprintf("at most %q", high))
	}
}

// required is a field that must be present, with an example of it.
type required struct {
	name    string
	example string
}

func requireAll(at strictjson.Cursor, fields []required) {
	for _, f := range fields {
		at.Require(f.name, f.example)
	}
}

// unique finds names that stand twice in one set.
type unique struct {
	noun  string
	first map[string]strictjson.Cursor
}

func newUnique(noun string) *unique {
	return &unique{noun: noun, first: map[string]strictjson.Cursor{}}
}

// add reports the name if it was added before.
func (u *unique) add(at strictjson.Cursor, name string) {
	if name == "" {
		return
	}
	if first, doubled := u.first[name]; doubled {
		at.Report(fmt.Sprintf("the %s %q is already at %s", u.noun, name, first.Place()), "each name once")
		return
	}
	u.first[name] = at
}

// declared is the set of names that others may refer to.
type declared struct {
	noun  string
	names []string
	set   map[string]bool
}

// declare collects names of one noun.
func declare(noun string, names ...string) *declared {
	d := &declared{noun: noun, names: names, set: make(map[string]bool, len(names))}
	for _, name := range names {
		d.set[name] = true
	}
	return d
}

// declareBy collects the names of a list's items.
func declareBy[T any](noun string, items []T, name func(T) string) *declared {
	names := make([]string, len(items))
	for i, item := range items {
		names[i] = name(item)
	}
	return declare(noun, names...)
}

// check reports a name that is not declared.
func (d *declared) check(at strictjson.Cursor, name string) {
	if !d.set[name] {
		at.Report(fmt.Sprintf("there is no %s %q", d.noun, name), strictjson.OneOf(name, d.names))
	}
}
