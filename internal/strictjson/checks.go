package strictjson

import (
	"fmt"
	"strings"
	"time"
)

// MaxNameLength is the most characters of a name.
const MaxNameLength = 63

// nameCharacters are the characters of names: those that stand in a URL path
// without escaping.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"

// CheckName reports a name that cannot stand in a URL path.
func CheckName(at Cursor, name string) {
	write := `a name of letters, digits and -._~ such as "orders"`
	switch {
	case name == "":
		at.Report("the name is empty", write)
	case name == "." || name == "..":
		at.Report(fmt.Sprintf("%q is not a name", name), write)
	case len(name) > MaxNameLength:
		at.Report(fmt.Sprintf("the name has %d characters", len(name)),
			fmt.Sprintf("a name of at most %d characters", MaxNameLength))
	case strings.Trim(name, nameCharacters) != "":
		bad := strings.TrimLeft(name, nameCharacters)
		at.Report(fmt.Sprintf("the name %q has %q, which cannot stand in a URL path", name, []rune(bad)[0]), write)
	}
}

// CheckRange reports a number outside its bounds.
func CheckRange(at Cursor, field string, value, low, high int64) {
	if value < low {
		at.Report(fmt.Sprintf("%q is %d", field, value), fmt.Sprintf("at least %d", low))
	}
	if value > high {
		at.Report(fmt.Sprintf("%q is %d", field, value), fmt.Sprintf("at most %d", high))
	}
}

// CheckDuration reports a duration outside its bounds.
func CheckDuration(at Cursor, field string, value, low, high time.Duration) {
	if value < low {
		at.Report(fmt.Sprintf("%q is %s", field, value), fmt.Sprintf("at least %q", low))
	}
	if value > high {
		at.Report(fmt.Sprintf("%q is %s", field, value), fmt.Sprintf("at most %q", high))
	}
}

// Required is a field that must be present, with an example of it.
type Required struct {
	Name string
	// Example is the field as it may stand in a file.
	Example string
}

// RequireAll reports each of the fields that an object lacks.
func RequireAll(at Cursor, fields []Required) {
	for _, f := range fields {
		at.Require(f.Name, f.Example)
	}
}
