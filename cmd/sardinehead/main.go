// Command sardinehead runs the daemon of an entry VM, a node that schedules jobs,
// or one of the operators' commands.
package main

import (
	"os"

	"github.com/sardinehead/sardinehead/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
