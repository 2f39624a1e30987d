package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/configcheck"
	"github.com/sardinehead/sardinehead/internal/core/job"
	"github.com/sardinehead/sardinehead/internal/strictjson"
	"github.com/sardinehead/sardinehead/platform"
)

// CheckConfig reports the problems of a configuration in the format of a deployment's own
// platform, before it is sent. Nothing is sent.
type CheckConfig struct {
	OutputOptions
	InForce string `long:"in-force" value-name:"FILE" description:"configuration in force, to list what changes"`
	Node    string `long:"node" value-name:"URL" description:"operators' address of a node, to compare with the configuration that it has in force"`
	Strict  bool   `long:"strict" description:"exit with 1 if there are warnings"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"configuration in the platform's format"`
	} `positional-args:"yes"`
}

// Exit codes of CheckConfig. It exits with ExitOK without problems, and also with warnings
// unless they are to count.
const (
	exitConfigWarnings = 1
	exitConfigErrors   = 2
)

// checkConfigResult is the JSON output of CheckConfig.
type checkConfigResult struct {
	Errors   int                 `json:"errors"`
	Warnings int                 `json:"warnings"`
	Problems strictjson.Problems `json:"problems"`
}

// Execute implements flags.Commander.
func (c *CheckConfig) Execute(extra []string) error {
	if len(extra) > 0 {
		return withExitCode(errors.Newf("one file is checked at a time, not also %q", extra[0]), exitConfigErrors)
	}
	content, err := readBounded(c.Args.File)
	if err != nil {
		return withExitCode(err, exitConfigErrors)
	}
	inForce, err := c.loadInForce()
	if err != nil {
		return withExitCode(err, exitConfigErrors)
	}
	checked := platform.CheckConfig(c.Args.File, content)
	if inForce != nil {
		checked.Compare(inForce)
	}
	return c.report(checked.Problems())
}

// loadInForce returns the configuration in force with its keys hashed, or nil if there is
// nothing to compare with.
func (c *CheckConfig) loadInForce() (*job.Config, error) {
	switch {
	case c.InForce != "" && c.Node != "":
		return nil, errors.New("--in-force and --node exclude each other")
	case c.InForce != "":
		content, err := readBounded(c.InForce)
		if err != nil {
			return nil, err
		}
		checked := platform.CheckConfig(c.InForce, content)
		if checked.Config == nil {
			return nil, errors.Wrap(checked.Problems(), "the configuration in force cannot be read")
		}
		return configcheck.WithoutSecrets(checked.Config), nil
	case c.Node != "":
		return configOfNode(c.Node)
	default:
		return nil, nil
	}
}

// configOfNode returns the configuration that a node has in force, with its keys hashed.
func configOfNode(node string) (*job.Config, error) {
	body, err := getFromNode(node, "/config", nil)
	if err != nil {
		return nil, err
	}
	var config job.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return nil, errors.Wrapf(err, "configuration of node %s", node)
	}
	if config.Version == 0 {
		return nil, errors.Newf("node %s shows no configuration", node)
	}
	return &config, nil
}

// readBounded reads a file of at most strictjson.MaxBytes and one byte more, which is enough
// to report that it is too large.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, strictjson.MaxBytes+1))
	return content, errors.Wrapf(err, "reading %s", path)
}

// report prints the problems and returns an error with the exit code.
func (c *CheckConfig) report(problems strictjson.Problems) error {
	result := checkConfigResult{Problems: append(strictjson.Problems{}, problems...)}
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.String())
		if p.Severity == strictjson.SeverityError {
			result.Errors++
		} else {
			result.Warnings++
		}
	}
	lines = append(lines, fmt.Sprintf("%s: %s, %s", c.Args.File, counted(result.Errors, "error"), counted(result.Warnings, "warning")))
	if err := c.print(result, lines); err != nil {
		return err
	}
	switch {
	case result.Errors > 0:
		return withExitCode(errors.Newf("%s in the configuration", counted(result.Errors, "error")), exitConfigErrors)
	case result.Warnings > 0 && c.Strict:
		return withExitCode(errors.Newf("%s in the configuration", counted(result.Warnings, "warning")), exitConfigWarnings)
	default:
		return nil
	}
}

// counted returns a number with a noun in the form that fits it.
func counted(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
