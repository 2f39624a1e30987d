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

// askTimeout bounds one question to a node.
const askTimeout = 5 * time.Second

// Nodes names the operators' addresses of entry nodes.
type Nodes struct {
	Output
	Node []string `long:"node" required:"yes" env:"SARDINEHEAD_NODES" env-delim:"," value-name:"URL" description:"operators' address of an entry node; may be given several times"`
}

// ask gets one page of a node.
func ask(node, path string, query url.Values) ([]byte, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return call(http.MethodGet, node, path)
}

// tell posts an order without a body to a node.
func tell(node, path string) error {
	_, err := call(http.MethodPost, node, path)
	return err
}

func call(method, node, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(node, "/")+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "address of node %s", node)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s does not answer", node)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s broke its answer off", node)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("node %s answers %s: %s", node, resp.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func askDump(node string) (core.Dump, error) {
	var dump core.Dump
	body, err := ask(node, "/dump", nil)
	if err != nil {
		return dump, err
	}
	err = json.Unmarshal(body, &dump)
	return dump, errors.Wrapf(err, "dump of node %s", node)
}

// Dump prints the state of nodes.
type Dump struct {
	Nodes
}

// Execute implements flags.Commander.
func (d *Dump) Execute([]string) error {
	for _, node := range d.Node {
		body, err := ask(node, "/dump", nil)
		if err != nil {
			return err
		}
		if _, err := os.Stdout.Write(body); err != nil {
			return err
		}
	}
	return nil
}

// Status prints a line for each node and what disagrees between them.
type Status struct {
	Nodes
}

// nodeStatus is one node in the JSON output of Status.
type nodeStatus struct {
	Address string     `json:"address"`
	Error   string     `json:"error,omitempty"`
	Dump    *core.Dump `json:"state,omitempty"`
}

// Execute implements flags.Commander. It fails if a node does not answer, is
// not ready, or folded the log differently from another.
func (s *Status) Execute([]string) error {
	var rows []nodeStatus
	for _, node := range s.Node {
		row := nodeStatus{Address: node}
		if dump, err := askDump(node); err != nil {
			row.Error = err.Error()
		} else {
			row.Dump = &dump
		}
		rows = append(rows, row)
	}
	problems := problemsOf(rows)
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
		lines = append(lines, shortageLines(&d.Maintenance)...)
		for _, q := range d.Queues {
			lines = append(lines, fmt.Sprintf("  queue %s: waiting %d, ready VMs %d (budget %d), free slots here %d", q.Queue, q.Waiting, q.ReadyVMs, q.ReadyBudget, q.FreeSlots))
		}
	}
	return lines
}

// maintenanceLine says who plans and how far the wave is.
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

// shortageLines lists the pools that lack VMs, as the planner sees them. A pool
// without a buffer still keeps its budget.
func shortageLines(m *maintenance.Status) []string {
	if !m.IsOwner {
		return nil
	}
	var out []string
	for _, s := range m.Shortfalls {
		out = append(out, "  shortage: "+s.Reason)
	}
	return out
}

// problemsOf lists what an operator should look at.
func problemsOf(rows []nodeStatus) []string {
	var out []string
	digests := map[string]string{}
	for _, row := range rows {
		if row.Dump == nil {
			out = append(out, "problem: "+row.Error)
			continue
		}
		d := row.Dump
		if !d.Ready {
			out = append(out, fmt.Sprintf("problem: %s is not ready: %s", d.Node, strings.Join(d.NotReady, ", ")))
		}
		for _, q := range d.Queues {
			if q.ReadyVMs < q.ReadyBudget {
				out = append(out, fmt.Sprintf("problem: %s sees %d ready VMs in pool %s, the budget is %d", d.Node, q.ReadyVMs, q.Pool, q.ReadyBudget))
			}
		}
		if wave := d.Maintenance.Wave; wave.PauseOffset != 0 {
			out = append(out, fmt.Sprintf("problem: %s: wave %d is paused: %s", d.Node, wave.Number, wave.PauseReason))
		}
		at := fmt.Sprint(d.Offset)
		if other, ok := digests[at]; ok && other != d.Digest {
			out = append(out, fmt.Sprintf("problem: %s folded the log differently up to offset %s", d.Node, at))
		}
		digests[at] = d.Digest
	}
	return out
}

// Explain answers why work waits or a VM gets none.
type Explain struct {
	Output
	Node  []string `long:"node" env:"SARDINEHEAD_NODES" env-delim:"," value-name:"URL" description:"operators' address of an entry node; may be given several times"`
	Queue string   `long:"queue" description:"queue to ask about"`
	Team  string   `long:"team" description:"team to ask about, with --queue"`
	VM    string   `long:"vm" description:"VM to ask about"`

	Job string   `long:"job" description:"job to explain from logs, with --log"`
	Log []string `long:"log" value-name:"FILE" description:"log of a node, - for standard input; may be given for each node"`
}

// Execute implements flags.Commander.
func (e *Explain) Execute([]string) error {
	if e.Job != "" {
		if len(e.Log) == 0 {
			return withExitCode(errors.New("say --log FILE, for each node"), ExitUsage)
		}
		return e.explainJob()
	}
	if len(e.Node) == 0 {
		return withExitCode(errors.New("say --node URL"), ExitUsage)
	}
	if e.Queue == "" && e.VM == "" {
		return withExitCode(errors.New("say --queue NAME (and --team NAME), or --vm NAME"), ExitUsage)
	}
	query := url.Values{"queue": {e.Queue}, "team": {e.Team}, "vm": {e.VM}}
	for _, node := range e.Node {
		body, err := ask(node, "/explain", query)
		if err != nil {
			return err
		}
		var answer struct {
			Lines []string `json:"lines"`
		}
		if err := json.Unmarshal(body, &answer); err != nil {
			return errors.Wrapf(err, "answer of node %s", node)
		}
		if err := e.print(answer.Lines, append([]string{node + ":"}, answer.Lines...)); err != nil {
			return err
		}
	}
	return nil
}
