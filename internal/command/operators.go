package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/core/maintenance"
)

// nodeCallTimeout is the timeout of one call to a node.
const nodeCallTimeout = 5 * time.Second

// NodeOptions are the flags of commands that read the state of entry nodes.
type NodeOptions struct {
	OutputOptions
	Node []string `long:"node" required:"yes" env:"SARDINEHEAD_NODES" env-delim:"," value-name:"URL" description:"operators' address of an entry node; may be repeated"`
}

// getFromNode sends a GET request to a node's operators' address and returns the
// body of the response.
func getFromNode(node, path string, query url.Values) ([]byte, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return callNode(http.MethodGet, node, path)
}

// postToNode sends a POST request without a body to a node's operators' address.
func postToNode(node, path string) error {
	_, err := callNode(http.MethodPost, node, path)
	return err
}

// callNode sends a request to a node's operators' address and returns the body
// of the response. Any status but 200 is an error.
func callNode(method, node, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), nodeCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(node, "/")+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "address of node %s", node)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "no response from node %s", node)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "incomplete response from node %s", node)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("node %s responded %s: %s", node, resp.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func fetchDump(node string) (core.Dump, error) {
	var dump core.Dump
	body, err := getFromNode(node, "/dump", nil)
	if err != nil {
		return dump, err
	}
	err = json.Unmarshal(body, &dump)
	return dump, errors.Wrapf(err, "dump of node %s", node)
}

// Dump prints each node's state as JSON.
type Dump struct {
	NodeOptions
}

// Execute implements flags.Commander.
func (d *Dump) Execute([]string) error {
	for _, node := range d.Node {
		body, err := getFromNode(node, "/dump", nil)
		if err != nil {
			return err
		}
		if _, err := os.Stdout.Write(body); err != nil {
			return err
		}
	}
	return nil
}

// Status prints the state of each node and the problems found.
type Status struct {
	NodeOptions
}

// nodeStatus is one node in the JSON output of Status; either Error or Dump is
// set.
type nodeStatus struct {
	Address string     `json:"address"`
	Error   string     `json:"error,omitempty"`
	Dump    *core.Dump `json:"state,omitempty"`
}

// Execute implements flags.Commander. It fails if findProblems finds a problem.
func (s *Status) Execute([]string) error {
	var rows []nodeStatus
	for _, node := range s.Node {
		row := nodeStatus{Address: node}
		if dump, err := fetchDump(node); err != nil {
			row.Error = err.Error()
		} else {
			row.Dump = &dump
		}
		rows = append(rows, row)
	}
	problems := findProblems(rows)
	if err := s.print(rows, append(statusLines(rows), problems...)); err != nil {
		return err
	}
	if len(problems) > 0 {
		return errors.Newf("%d problems", len(problems))
	}
	return nil
}

func statusLines(rows []nodeStatus) []string {
	var lines []string
	for _, row := range rows {
		d := row.Dump
		if d == nil {
			lines = append(lines, fmt.Sprintf("%s: no answer", row.Address))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %s: fleet %s, revision %d, offset %d, members %d, running %d, log up %v",
			row.Address, d.Node, d.Fleet, d.Revision, d.Offset, len(d.Members), d.Running, d.LogUp))
		lines = append(lines, "  "+maintenanceLine(&d.Maintenance))
		lines = append(lines, shortfallLines(&d.Maintenance)...)
		for _, q := range d.Queues {
			lines = append(lines, fmt.Sprintf("  queue %s: waiting %d, ready VMs %d (budget %d), free slots here %d", q.Queue, q.Waiting, q.ReadyVMs, q.ReadyBudget, q.FreeSlots))
		}
	}
	return lines
}

// maintenanceLine describes the owner of maintenance and the progress of the
// wave.
func maintenanceLine(m *maintenance.Status) string {
	if m.Owner.Epoch == 0 {
		return "maintenance: no node plans yet"
	}
	line := fmt.Sprintf("maintenance: %s plans; wave %d: %d VMs done, %d under way, %d due, %d missing",
		m.Owner.Node, m.Wave.Number, m.Wave.Done, m.Wave.InProgress, m.Wave.Due, m.Wave.Missing)
	if m.HoldReason != "" {
		line += "; nothing new is begun: " + m.HoldReason
	}
	return line
}

// shortfallLines lists the pools with too few VMs. Only the owner of maintenance
// knows them. A pool may lack headroom or VMs for its demand and
// still meet its availability budget, so findProblems does not count it.
func shortfallLines(m *maintenance.Status) []string {
	if !m.IsOwner {
		return nil
	}
	var lines []string
	for _, s := range m.Shortfalls {
		lines = append(lines, "  shortage: "+s.Reason)
	}
	return lines
}

// findProblems returns a line for each problem that needs an operator: a node
// that does not respond or is not ready, a pool below its availability budget, a
// paused wave, or nodes that folded the same records to different states.
func findProblems(rows []nodeStatus) []string {
	var lines []string
	digestByOffset := map[string]string{}
	for _, row := range rows {
		if row.Dump == nil {
			lines = append(lines, "problem: "+row.Error)
			continue
		}
		d := row.Dump
		if !d.Ready {
			lines = append(lines, fmt.Sprintf("problem: %s is not ready: %s", d.Node, strings.Join(d.NotReady, ", ")))
		}
		for _, q := range d.Queues {
			if q.ReadyVMs < q.ReadyBudget {
				lines = append(lines, fmt.Sprintf("problem: %s sees %d ready VMs in pool %s, the budget is %d", d.Node, q.ReadyVMs, q.Pool, q.ReadyBudget))
			}
		}
		if wave := d.Maintenance.Wave; wave.PauseOffset != 0 {
			lines = append(lines, fmt.Sprintf("problem: %s: wave %d is paused: %s", d.Node, wave.Number, wave.PauseReason))
		}
		offset := fmt.Sprint(d.Offset)
		if digest, ok := digestByOffset[offset]; ok && digest != d.Digest {
			lines = append(lines, fmt.Sprintf("problem: %s folded the log differently up to offset %s", d.Node, offset))
		}
		digestByOffset[offset] = d.Digest
	}
	return lines
}

// Explain explains why requests or a job wait, or why a VM gets no work.
type Explain struct {
	OutputOptions
	Node  []string `long:"node" env:"SARDINEHEAD_NODES" env-delim:"," value-name:"URL" description:"operators' address of an entry node; may be repeated"`
	Queue string   `long:"queue" description:"queue to explain"`
	Team  string   `long:"team" description:"team to explain, with --queue"`
	VM    string   `long:"vm" description:"VM to explain"`

	Job string   `long:"job" description:"job to explain from logs, with --log"`
	Log []string `long:"log" value-name:"FILE" description:"log of a node, or - for standard input; may be repeated"`
}

// Execute implements flags.Commander.
func (e *Explain) Execute([]string) error {
	if e.Job != "" {
		if len(e.Log) == 0 {
			return withExitCode(errors.New("missing flag: --log FILE, once for each node"), ExitUsage)
		}
		return e.explainJob()
	}
	if len(e.Node) == 0 {
		return withExitCode(errors.New("missing flag: --node URL"), ExitUsage)
	}
	if e.Queue == "" && e.VM == "" {
		return withExitCode(errors.New("missing flag: --queue NAME (optionally with --team NAME) or --vm NAME"), ExitUsage)
	}
	query := url.Values{"queue": {e.Queue}, "team": {e.Team}, "vm": {e.VM}}
	for _, node := range e.Node {
		body, err := getFromNode(node, "/explain", query)
		if err != nil {
			return err
		}
		var response struct {
			Lines []string `json:"lines"`
		}
		if err := json.Unmarshal(body, &response); err != nil {
			return errors.Wrapf(err, "response of node %s", node)
		}
		if err := e.print(response.Lines, append([]string{node + ":"}, response.Lines...)); err != nil {
			return err
		}
	}
	return nil
}
