// Command sardinehead is the daemon of the entry VMs and the operators'
// command line in one binary.
package main

import (
	"os"

	"github.com/sardinehead/sardinehead/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
