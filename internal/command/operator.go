package command

import (
	"context"
	"os"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/publish"
	"github.com/sardinehead/sardinehead/internal/services"
)

// OperatorOptions are the flags of commands that change the fleet through the
// log.
type OperatorOptions struct {
	OutputOptions
	Log     string        `long:"log" required:"yes" env:"SARDINEHEAD_LOG" value-name:"URL" description:"address of the platform's log service"`
	Name    string        `long:"operator" env:"SARDINEHEAD_OPERATOR" value-name:"NAME" description:"operator name recorded with the change; the login name by default"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"timeout of the whole operation"`
}

// withClient runs an operation with a log client under the timeout of the flags.
// If its outcome is unknown, the exit code is ExitUnknown.
func (o *OperatorOptions) withClient(operation func(context.Context, *publish.Client) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	client := &publish.Client{Log: services.NewLogClient(o.Log), Operator: o.operatorName()}
	err := operation(ctx, client)
	if errors.Is(err, publish.ErrUnknown) {
		return withExitCode(err, ExitUnknown)
	}
	return err
}

// operatorName returns the name to record: the flag, the login name, or $USER.
func (o *OperatorOptions) operatorName() string {
	if o.Name != "" {
		return o.Name
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return os.Getenv("USER")
}
