package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// OutputOptions are the flags that select text or JSON output.
type OutputOptions struct {
	Format string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the output"`
	// destination receives the output; nil means standard output.
	destination io.Writer
}

func (o *OutputOptions) writer() io.Writer {
	if o.destination == nil {
		return os.Stdout
	}
	return o.destination
}

// print writes the value if the format is JSON, and the lines otherwise.
func (o *OutputOptions) print(value any, lines []string) error {
	if o.Format == "json" {
		encoder := json.NewEncoder(o.writer())
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(value)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(o.writer(), line); err != nil {
			return err
		}
	}
	return nil
}
