// Package command holds the commands of the sardinehead binary, one file each.
package command

import (
	"fmt"
	"io"
	"log"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of every command.
const (
	// ExitOK: the command did what was asked.
	ExitOK = 0
	// ExitFailed: the command could not do what was asked.
	ExitFailed = 1
	// ExitUsage: the command line was wrong.
	ExitUsage = 2
)

// root lists the commands.
type root struct {
	Entry        Entry        `command:"entry" description:"Run the daemon of an entry VM"`
	Serve        Serve        `command:"serve" description:"Run jobs on a deployment's own platform"`
	Dev          Dev          `command:"dev" description:"Run a whole installation on loopback, with stand-ins of the platform and the upstreams"`
	Standin      Standin      `command:"standin" description:"Run the stand-ins of the platform and the upstreams only"`
	Status       Status       `command:"status" description:"Show each node and what disagrees"`
	Dump         Dump         `command:"dump" description:"Print the whole state of nodes as JSON"`
	Explain      Explain      `command:"explain" description:"Say why work waits or a VM gets none"`
	Load         Load         `command:"load" description:"Send requests at a fixed rate and report latencies"`
	Measure      Measure      `command:"measure" description:"Run the measures of the decisions against baselines and bounds"`
	CapacityPage CapacityPage `command:"capacity-page" description:"Measure all slopes again and write the capacity page"`
	Send         Send         `command:"send" description:"Send one request as a caller"`

	Check   Check   `command:"check" description:"Report every fault of the operators' files"`
	Publish Publish `command:"publish" description:"Put the operators' files into force"`
	Wave    Wave    `command:"wave" description:"Start, pause and resume the wave of maintenance"`
	Key     Key     `command:"key" description:"Give, withdraw and list keys"`
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	// Libraries write pieces of requests and answers to the standard logger.
	log.SetOutput(io.Discard)
	parser := flags.NewNamedParser("sardinehead", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "manager of fleet capacity and maintenance"
	if _, err := parser.AddGroup("", "", &root{}); err != nil {
		fmt.Fprintln(os.Stderr, "sardinehead:", err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return ExitOK
		}
		fmt.Fprintln(os.Stderr, "sardinehead:", usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "sardinehead:", err)
	return codeOf(err)
}
