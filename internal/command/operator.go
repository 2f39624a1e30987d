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

// Operator holds what every change by an operator needs.
type Operator struct {
	Output
	Log     string        `long:"log" required:"yes" env:"SARDINEHEAD_LOG" value-name:"URL" description:"address of the platform's log service"`
	Name    string        `long:"operator" env:"SARDINEHEAD_OPERATOR" value-name:"NAME" description:"name recorded with the change; your login name by default"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest wait for the log service"`
}

// run calls an operation with a client and the chosen time limit.
func (o *Operator) run(operation func(context.Context, *publish.Client) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	client := &publish.Client{Log: services.NewLogClient(o.Log), Operator: o.name()}
	err := operation(ctx, client)
	if errors.Is(err, publish.ErrUnknown) {
		return withExitCode(err, ExitUnknown)
	}
	return err
}

func (o *Operator) name() string {
	if o.Name != "" {
		return o.Name
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return os.Getenv("USER")
}
