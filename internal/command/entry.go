package command

import (
	"context"
	"fmt"
	"os"

	"github.com/sardinehead/sardinehead/internal/daemon"
	"github.com/sardinehead/sardinehead/internal/settings"
)

// Entry runs the daemon of an entry VM.
type Entry struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of this process"`
	Check    bool   `long:"check" description:"check the settings and end"`
}

// Execute implements flags.Commander.
func (e *Entry) Execute([]string) error {
	checked, problems, err := settings.Load(e.Settings)
	if err != nil {
		return err
	}
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, problem)
	}
	if e.Check {
		fmt.Println("the settings are usable")
		return nil
	}
	return daemon.Run(context.Background(), checked, os.Stderr)
}
