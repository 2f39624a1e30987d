package spec

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// MarshalJSON writes the duration as a string such as "1m30s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "1m30s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "a duration is a string such as \"10s\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrapf(err, "duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}
