package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/forward"
)

// Send sends one request to an entry node and prints the body of the response.
type Send struct {
	To      string        `long:"to" default:"http://127.0.0.1:8180" value-name:"URL" description:"address of an entry node"`
	Key     string        `long:"key" env:"SARDINEHEAD_KEY" description:"key of the team"`
	Method  string        `long:"method" default:"GET" description:"HTTP method"`
	Data    string        `long:"data" description:"body of the request"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"timeout of the request"`
	Args    struct {
		Queue string `positional-arg-name:"QUEUE" required:"yes"`
		Path  string `positional-arg-name:"PATH"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (s *Send) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	url := strings.TrimSuffix(s.To, "/") + "/v1/" + s.Args.Queue + "/" + strings.TrimPrefix(s.Args.Path, "/")
	req, err := http.NewRequestWithContext(ctx, s.Method, url, strings.NewReader(s.Data))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set(forward.HeaderTimeout, s.Timeout.String())
	if s.Key != "" {
		req.Header.Set("Authorization", "Bearer "+s.Key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "outcome unknown")
	}
	defer resp.Body.Close()
	fmt.Fprintf(os.Stderr, "%s, outcome %s\n", resp.Status, resp.Header.Get(forward.HeaderOutcome))
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return errors.Wrap(err, "incomplete response; outcome unknown")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("the request failed with status %s", resp.Status)
	}
	return nil
}
