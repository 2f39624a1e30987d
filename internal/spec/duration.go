package spec

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBadDuration is returned for a JSON value that is not a duration.
var ErrBadDuration = errors.New("not a duration")

// MarshalJSON encodes the duration as a string such as "1m30s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "1m30s". It fails with ErrBadDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Mark(errors.Wrap(err, "a duration is a string such as \"10s\""), ErrBadDuration)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "duration %q", text), ErrBadDuration)
	}
	*d = Duration(parsed)
	return nil
}

// JSONExample implements strictjson.Formatted.
func (*Duration) JSONExample() string {
	return `a duration such as "10s", "1m30s" or "12h"`
}
