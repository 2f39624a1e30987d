// Package command implements the subcommands of the sardinehead binary.
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
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the command failed.
	ExitFailed = 1
	// ExitUsage: the command line is invalid.
	ExitUsage = 2
)

// root declares the subcommands for the command line parser.
type root struct {
	Entry        Entry        `command:"entry" description:"Run the daemon of an entry VM"`
	Serve        Serve        `command:"serve" description:"Run a node that schedules jobs on a deployment's own platform"`
	Dev          Dev          `command:"dev" description:"Run a complete installation on loopback, with stand-ins of the platform and the upstreams"`
	Standin      Standin      `command:"standin" description:"Run the stand-ins of the platform and the upstreams only"`
	Status       Status       `command:"status" description:"Show the state of each node, and problems"`
	Dump         Dump         `command:"dump" description:"Print the complete state of nodes as JSON"`
	Explain      Explain      `command:"explain" description:"Explain why requests or a job wait, or why a VM gets no work"`
	Load         Load         `command:"load" description:"Send requests at a fixed rate and report latencies"`
	Measure      Measure      `command:"measure" description:"Measure scheduling decisions against baselines and bounds"`
	CapacityPage CapacityPage `command:"capacity-page" description:"Measure all cost slopes and write the capacity page"`
	Send         Send         `command:"send" description:"Send one request"`

	Check       Check       `command:"check" description:"Validate the operators' files and report every problem"`
	CheckConfig CheckConfig `command:"check-config" description:"Check a configuration in the format of a deployment's own platform before it is sent"`
	Publish     Publish     `command:"publish" description:"Publish the operators' files as the configuration in force"`
	Wave        Wave        `command:"wave" description:"Start, pause and resume the maintenance wave"`
	Key         Key         `command:"key" description:"Give, withdraw and list keys"`
}

// Main parses the command line, runs the command and returns its exit code.
func Main(args []string) int {
	// Discard the standard logger: libraries write parts of requests and
	// responses to it.
	log.SetOutput(io.Discard)
	parser := flags.NewNamedParser("sardinehead", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "manager of fleet capacity and maintenance"
	if _, err := parser.AddGroup("", "", &root{}); err != nil {
		fmt.Fprintln(os.Stderr, "sardinehead:", err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return reportError(err)
}

// reportError prints the error, or the help text, and returns the exit code.
func reportError(err error) int {
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
	return exitCodeOf(err)
}
