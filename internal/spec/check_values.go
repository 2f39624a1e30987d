package spec

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// uniqueNames finds names that occur more than once in a list.
type uniqueNames struct {
	// kind is the word for such a name in messages, such as "team".
	kind string
	// firstUse holds the first place of each name.
	firstUse map[string]strictjson.Cursor
}

func newUniqueNames(kind string) *uniqueNames {
	return &uniqueNames{kind: kind, firstUse: map[string]strictjson.Cursor{}}
}

// add records the use of a name, and reports it if the name was added before.
func (u *uniqueNames) add(at strictjson.Cursor, name string) {
	if name == "" {
		return
	}
	if first, duplicate := u.firstUse[name]; duplicate {
		at.Report(fmt.Sprintf("duplicate %s %q, first given at %s", u.kind, name, first.Location()), "each name once")
		return
	}
	u.firstUse[name] = at
}

// declaredNames is a set of names that other fields may refer to.
type declaredNames struct {
	// kind is the word for such a name in messages, such as "team".
	kind string
	// names holds the names in the order of their declaration.
	names    []string
	contains map[string]bool
}

func newDeclaredNames(kind string, names ...string) *declaredNames {
	d := &declaredNames{kind: kind, names: names, contains: make(map[string]bool, len(names))}
	for _, name := range names {
		d.contains[name] = true
	}
	return d
}

// declaredNamesOf returns the names of the items of a list.
func declaredNamesOf[T any](kind string, items []T, name func(T) string) *declaredNames {
	names := make([]string, len(items))
	for i, item := range items {
		names[i] = name(item)
	}
	return newDeclaredNames(kind, names...)
}

// check reports a name that is not declared.
func (d *declaredNames) check(at strictjson.Cursor, name string) {
	if !d.contains[name] {
		at.Report(fmt.Sprintf("there is no %s %q", d.kind, name), strictjson.Suggest(name, d.names))
	}
}
