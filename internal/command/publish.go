package command

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/publish"
	"github.com/sardinehead/sardinehead/internal/spec"
)

// Publish publishes a tree of operators' files as the configuration in force. It
// exits with ExitRefused if the configuration in force changed meanwhile, and
// with ExitUnknown if the outcome is unknown.
type Publish struct {
	OperatorOptions
	DryRun bool `long:"dry-run" description:"only show the changes"`
	Args   struct {
		Dir string `positional-arg-name:"DIR" required:"yes" description:"directory of the operators' files"`
	} `positional-args:"yes"`
}

// publishResult is the JSON output of Publish.
type publishResult struct {
	publish.Plan
	// Published is nil if there are no changes, or on a dry run.
	Published *publish.PublishResult `json:"published,omitempty"`
}

// Execute implements flags.Commander.
func (p *Publish) Execute([]string) error {
	fleet, problems, err := spec.Check(os.DirFS(p.Args.Dir))
	if err != nil {
		return err
	}
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, problem)
	}
	if err := errorIfInvalid(problems); err != nil {
		return err
	}
	return p.withClient(func(ctx context.Context, client *publish.Client) error {
		return p.publish(ctx, client, fleet)
	})
}

func (p *Publish) publish(ctx context.Context, client *publish.Client, fleet spec.Fleet) error {
	plan, err := client.Plan(ctx, fleet)
	if err != nil {
		return err
	}
	result := publishResult{Plan: plan}
	if p.DryRun || len(plan.Changes) == 0 {
		return p.print(result, result.lines())
	}
	published, err := client.Publish(ctx, plan)
	if err != nil {
		return errors.Wrap(err, "publish (once the log is available, --dry-run shows whether the changes are in force)")
	}
	result.Published = &published
	if err := p.print(result, result.lines()); err != nil {
		return err
	}
	if !published.Accepted {
		refused := errors.New("refused: another configuration was accepted first; merge its changes into your files and publish again")
		return withExitCode(refused, ExitRefused)
	}
	return nil
}

// lines returns the changes and the outcome as text. After a refusal it includes
// what other operators published since the plan's base revision.
func (r *publishResult) lines() []string {
	var lines []string
	for _, change := range r.Changes {
		lines = append(lines, change.String())
	}
	switch {
	case len(r.Changes) == 0:
		return append(lines, fmt.Sprintf("no difference to revision %d", r.Base))
	case r.Published == nil:
		return append(lines, fmt.Sprintf("not published; this would change revision %d", r.Base))
	case r.Published.Accepted:
		return append(lines, fmt.Sprintf("accepted as revision %d, changing revision %d", r.Published.Revision, r.Base))
	}
	lines = append(lines, fmt.Sprintf("refused: revision %d is no longer in force", r.Base))
	for _, other := range r.Published.Others {
		lines = append(lines, fmt.Sprintf("revision %d was published by %s", other.Revision, other.Operator))
	}
	for _, change := range r.Published.Since {
		lines = append(lines, "changed meanwhile: "+change.String())
	}
	return lines
}
