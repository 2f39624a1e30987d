package spec

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two configurations.
type Change struct {
	// Subject is the changed object, such as "team kijiji".
	Subject string `json:"subject"`
	// Field is the changed field, or empty if the subject was added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the formatted values. Old is empty for an addition, New
	// for a removal.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns a line such as "team kijiji: upper_limit 40 -> 60".
func (c Change) String() string {
	switch {
	case c.Field == "" && c.Old == "":
		return fmt.Sprintf("%s: added (%s)", c.Subject, c.New)
	case c.Field == "":
		return fmt.Sprintf("%s: removed (%s)", c.Subject, c.Old)
	case c.Old == "":
		return fmt.Sprintf("%s: %s added %s", c.Subject, c.Field, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: %s removed %s", c.Subject, c.Field, c.Old)
	default:
		return fmt.Sprintf("%s: %s %s -> %s", c.Subject, c.Field, c.Old, c.New)
	}
}

// Diff returns the differences between two configurations, sorted by subject
// and field. File paths are not compared.
func Diff(before, after Fleet) []Change {
	oldSubjects, newSubjects := fieldsBySubject(&before), fieldsBySubject(&after)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(unionOfKeys(oldSubjects, newSubjects))) {
		oldFields, inOld := oldSubjects[name]
		newFields, inNew := newSubjects[name]
		switch {
		case !inOld:
			changes = append(changes, Change{Subject: name, New: newFields.summary()})
		case !inNew:
			changes = append(changes, Change{Subject: name, Old: oldFields.summary()})
		default:
			changes = append(changes, oldFields.diff(name, newFields)...)
		}
	}
	return changes
}

func unionOfKeys[V any](a, b map[string]V) map[string]V {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// diff returns the differences of one subject.
func (s subjectFields) diff(name string, after subjectFields) []Change {
	var changes []Change
	for _, field := range slices.Sorted(maps.Keys(unionOfKeys(s, after))) {
		changes = append(changes, fieldChanges(name, field, s[field], after[field])...)
	}
	return changes
}

func fieldChanges(name, field string, before, after fieldValue) []Change {
	if before.isList || after.isList {
		return listChanges(name, field, before.items, after.items)
	}
	if before.text == after.text {
		return nil
	}
	return []Change{{Subject: name, Field: field, Old: before.text, New: after.text}}
}

// listChanges returns one change for each added or removed item of a list.
func listChanges(name, field string, before, after []string) []Change {
	var changes []Change
	for _, item := range before {
		if !slices.Contains(after, item) {
			changes = append(changes, Change{Subject: name, Field: field, Old: item})
		}
	}
	for _, item := range after {
		if !slices.Contains(before, item) {
			changes = append(changes, Change{Subject: name, Field: field, New: item})
		}
	}
	return changes
}

// summary lists the fields of a subject that was added or removed.
func (s subjectFields) summary() string {
	parts := make([]string, 0, len(s))
	for _, field := range slices.Sorted(maps.Keys(s)) {
		text := s[field].text
		if s[field].isList {
			text = strings.Join(s[field].items, ",")
		}
		if text != "" {
			parts = append(parts, field+" "+text)
		}
	}
	return strings.Join(parts, ", ")
}
