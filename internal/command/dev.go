package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/oklog/run"

	"github.com/sardinehead/sardinehead/internal/dev"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Dev runs a complete installation on loopback in one process.
type Dev struct {
	Config string `long:"config" required:"yes" value-name:"DIR" description:"directory of the operators' files"`
	Nodes  int    `long:"nodes" default:"3" description:"number of entry nodes"`
	Port   int    `long:"port" default:"8180" description:"callers' port of the first node; 0 chooses free ports"`
}

// Execute implements flags.Commander.
func (d *Dev) Execute([]string) error {
	fleet, err := spec.Load(d.Config)
	if err != nil {
		return err
	}
	in, err := dev.Start(dev.Options{Fleet: fleet, Nodes: d.Nodes, FirstPort: d.Port, LogOutput: os.Stderr})
	if err != nil {
		return err
	}
	defer in.Close()
	printInstallation(in)
	return waitForSignal()
}

func printInstallation(in *dev.Installation) {
	fmt.Println("platform stand-in:", in.PlatformURL)
	for _, n := range in.Nodes {
		fmt.Printf("%s: callers http://%s, operators http://%s\n", n.ID, n.Address, n.Operators)
	}
	var teams []vocab.TeamID
	for team := range in.Keys {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	for _, team := range teams {
		fmt.Printf("key of team %s: %s\n", team, in.Keys[team])
	}
	fmt.Println("ready; stop with Ctrl-C")
}

// waitForSignal returns after SIGINT or SIGTERM.
func waitForSignal() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	var group run.Group
	group.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { stop() })
	return group.Run()
}
