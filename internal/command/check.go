package command

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// Check reports every fault of a tree of operators' files. It exits with
// ExitOK if the tree can be published, warnings or not, with ExitFailed if it
// cannot, and with ExitUsage if the command line is wrong.
type Check struct {
	Output
	Args struct {
		Dir string `positional-arg-name:"DIR" required:"yes" description:"tree of the operators' files"`
	} `positional-args:"yes"`
}

// checkResult is the JSON output of Check.
type checkResult struct {
	OK       bool                `json:"ok"`
	Digest   string              `json:"digest,omitempty"`
	Problems strictjson.Problems `json:"problems"`
}

// Execute implements flags.Commander.
func (c *Check) Execute([]string) error {
	fleet, problems, err := spec.Check(os.DirFS(c.Args.Dir))
	if err != nil {
		return err
	}
	result := checkResult{OK: problems.Err() == nil, Problems: problems}
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	if result.OK {
		result.Digest = fleet.Digest()
		lines = append(lines, fmt.Sprintf("ok: fleet %s, %d teams, %d pools, %d services, digest %s",
			fleet.Name, len(fleet.Teams), len(fleet.Pools), len(fleet.Services), result.Digest))
	}
	if err := c.print(result, lines); err != nil {
		return err
	}
	return refuseBroken(problems)
}

// refuseBroken returns an error with the number of errors, if there are any.
func refuseBroken(problems strictjson.Problems) error {
	broken := 0
	for _, p := range problems {
		if p.Severity == strictjson.SeverityError {
			broken++
		}
	}
	if broken == 0 {
		return nil
	}
	return errors.Newf("%d errors in the operators' files", broken)
}
