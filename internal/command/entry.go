package command

import (
	"context"
	"fmt"
	"os"

	"github.com/sardinehead/sardinehead/internal/daemon"
	"github.com/sardinehead/sardinehead/internal/settings"
)

// Entry runs the daemon of an entry VM until it is stopped.
type Entry struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of this process"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (e *Entry) Execute([]string) error {
	loaded, problems, err := settings.Load(e.Settings)
	if err != nil {
		return err
	}
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, problem)
	}
	if e.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	return daemon.Run(context.Background(), loaded, os.Stderr)
}
