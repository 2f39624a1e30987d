package command

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/dev"
	"github.com/sardinehead/sardinehead/internal/spec"
)

// Standin runs the stand-ins of the platform and of every upstream, without
// entry nodes, so that "entry" processes can be tried on their own.
type Standin struct {
	Config string `long:"config" required:"yes" value-name:"DIR" description:"tree of the operators' files; names the VMs to stand in for"`
	Port   int    `long:"port" default:"9100" description:"port of the platform's stand-in"`
}

// Execute implements flags.Commander.
func (s *Standin) Execute([]string) error {
	fleet, err := spec.Load(s.Config)
	if err != nil {
		return err
	}
	in, err := dev.Start(dev.Options{Fleet: fleet, PlatformPort: s.Port, Unpublished: true})
	if err != nil {
		return err
	}
	defer in.Close()
	fmt.Println("log and VM list:", in.PlatformURL)
	fmt.Println("the log is empty: publish a configuration next; stop with Ctrl-C")
	return waitForSignal()
}
