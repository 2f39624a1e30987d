package command

import (
	"fmt"

	"github.com/sardinehead/sardinehead/internal/dev"
	"github.com/sardinehead/sardinehead/internal/spec"
)

// Standin runs the stand-ins of the platform and of every upstream, without
// entry nodes, for use with separate "entry" processes.
type Standin struct {
	Config string `long:"config" required:"yes" value-name:"DIR" description:"directory of the operators' files, which define the pools of VMs"`
	Port   int    `long:"port" default:"9100" description:"port of the stand-in of the platform"`
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
	fmt.Println("the log is empty: publish a configuration; stop with Ctrl-C")
	return waitForSignal()
}
