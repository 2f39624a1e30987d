package spec

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

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
