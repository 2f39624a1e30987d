package command

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/measure/slopes"
)

// CapacityPage measures every slope of internal/measure/slopes and writes the
// capacity page with its plots.
type CapacityPage struct {
	Out  string `long:"out" default:"docs/CAPACITY.md" value-name:"FILE" description:"file of the page; plots go to the directory capacity next to it"`
	Seed uint64 `long:"seed" default:"1" description:"seed of the random number generator"`
}

// Execute implements flags.Commander.
func (c *CapacityPage) Execute([]string) error {
	report, err := slopes.Run(c.Seed)
	if err != nil {
		return err
	}
	if err := report.WritePage(c.Out); err != nil {
		return err
	}
	fmt.Printf("%s written from %d slopes, measured in %s\n", c.Out, len(report.Slopes), report.Took.Round(1e9))
	return nil
}
