package command

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/strictjson"
)

// Check reports every problem in a tree of operators' files. It exits with
// ExitOK if the tree has at most warnings, and with ExitFailed if it has errors
// and cannot be published.
type Check struct {
	OutputOptions
	Args struct {
		Dir string `positional-arg-name:"DIR" required:"yes" description:"directory of the operators' files"`
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
	return errorIfInvalid(problems)
}

// errorIfInvalid returns an error that counts the problems of severity error, or
// nil if there are none.
func errorIfInvalid(problems strictjson.Problems) error {
	errorCount := 0
	for _, p := range problems {
		if p.Severity == strictjson.SeverityError {
			errorCount++
		}
	}
	if errorCount == 0 {
		return nil
	}
	return errors.Newf("%d errors in the operators' files", errorCount)
}
