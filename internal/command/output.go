package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// Output chooses between text for people and JSON for programs.
type Output struct {
	Format string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	// to receives the output; nil stands for standard output.
	to io.Writer
}

func (o *Output) writer() io.Writer {
	if o.to == nil {
		return os.Stdout
	}
	return o.to
}

// print writes the value as JSON, or the lines as text, as the user chose.
func (o *Output) print(value any, lines []string) error {
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
