package strictjson

import (
	"fmt"
	"strings"
	"time"
)

// MaxNameLength is the maximum length of a name in characters.
const MaxNameLength = 63

// nameCharacters are the characters allowed in a name: those that need no
// escaping in a URL path.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"

// CheckName reports a name that is empty, too long or not usable unescaped as
// a segment of a URL path.
func CheckName(at Cursor, name string) {
	suggestion := `a name of letters, digits and -._~ such as "orders"`
	switch {
	case name == "":
		at.Report("the name is empty", suggestion)
	case name == "." || name == "..":
		at.Report(fmt.Sprintf("%q is not a valid name", name), suggestion)
	case len(name) > MaxNameLength:
		at.Report(fmt.Sprintf("the name has %d characters", len(name)),
			fmt.Sprintf("a name of at most %d characters", MaxNameLength))
	case strings.Trim(name, nameCharacters) != "":
		fromInvalid := strings.TrimLeft(name, nameCharacters)
		at.Report(fmt.Sprintf("the name %q contains %q, which is not allowed in a URL path", name, []rune(fromInvalid)[0]), suggestion)
	}
}

// CheckRange reports a number below low or above high.
func CheckRange(at Cursor, field string, value, low, high int64) {
	if value < low {
		at.Report(fmt.Sprintf("%q is %d", field, value), fmt.Sprintf("at least %d", low))
	}
	if value > high {
		at.Report(fmt.Sprintf("%q is %d", field, value), fmt.Sprintf("at most %d", high))
	}
}

// CheckDuration reports a duration below low or above high.
func CheckDuration(at Cursor, field string, value, low, high time.Duration) {
	if value < low {
		at.Report(fmt.Sprintf("%q is %s", field, value), fmt.Sprintf("at least %q", low))
	}
	if value > high {
		at.Report(fmt.Sprintf("%q is %s", field, value), fmt.Sprintf("at most %q", high))
	}
}

// CheckInt reports a number below low or above high.
func CheckInt(at Cursor, field string, value, low, high int) {
	if value < low {
		at.Report(fmt.Sprintf("%q is %d", field, value), fmt.Sprintf("at least %d", low))
	}
	if value > high {
		at.Report(fmt.Sprintf("%q is %d", field, value), fmt.Sprintf("at most %d", high))
	}
}

// Required is a field that must be present in an object.
type Required struct {
	Name string
	// Example is the field with an example value, as written in a file.
	Example string
}

// RequireAll reports each of the fields that is missing from the object.
func RequireAll(at Cursor, fields []Required) {
	for _, f := range fields {
		at.Require(f.Name, f.Example)
	}
}
