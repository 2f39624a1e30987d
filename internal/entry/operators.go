package entry

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/sardinehead/sardinehead/internal/bodylimit"
	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/drainlisten"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// OperatorsHandler returns the HTTP handler of the operator API.
func OperatorsHandler(n *node.Node) http.Handler {
	e := echo.New()
	o := operators{node: n}
	e.GET("/healthz", o.health)
	e.GET("/readyz", o.ready)
	e.GET("/metrics", o.metrics)
	e.GET("/dump", o.dump)
	e.GET("/explain", o.explain)
	e.POST("/keys/:key/withdraw", o.withdraw)
	return e
}

// operators implements the HTTP API for operators.
type operators struct {
	node *node.Node
}

// health reports whether the node's event loop is running.
func (o operators) health(c *echo.Context) error {
	if err := o.node.Read(func(*core.State) {}); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// ready reports to the load balancer whether the node accepts requests, and the
// reasons if it does not.
func (o operators) ready(c *echo.Context) error {
	var reasons []string
	if err := o.node.Read(func(s *core.State) { reasons = s.NotReady() }); err != nil {
		reasons = []string{err.Error()}
	}
	if len(reasons) > 0 {
		return c.JSON(http.StatusServiceUnavailable, map[string][]string{"not_ready": reasons})
	}
	return c.String(http.StatusOK, "ready\n")
}

// metrics writes the node's metrics in the Prometheus text format.
func (o operators) metrics(c *echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.node.WriteMetrics(c.Response())
	bodylimit.WriteMetrics(c.Response())
	drainlisten.WriteMetrics(c.Response())
	return nil
}

// dump returns a copy of the node's state as JSON.
func (o operators) dump(c *echo.Context) error {
	var dump core.Dump
	if err := o.node.Read(func(s *core.State) { dump = s.Dump() }); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.JSONPretty(http.StatusOK, dump, "  ")
}

// explain returns the reasons why a team's work waits in a queue, or why a VM
// gets no work.
func (o operators) explain(c *echo.Context) error {
	query := core.ExplainQuery{
		Queue: vocab.QueueID(c.QueryParam("queue")),
		Team:  vocab.TeamID(c.QueryParam("team")),
		VM:    vocab.VMID(c.QueryParam("vm")),
	}
	var lines []string
	if err := o.node.Read(func(s *core.State) { lines = s.Explain(query) }); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.JSON(http.StatusOK, explanation{Lines: lines})
}

// explanation is the response of explain: one reason per line.
type explanation struct {
	Lines []string `json:"lines"`
}

// withdraw withdraws a key on this node immediately and on the other nodes by
// gossip, so that it takes effect even while the log is unavailable.
func (o operators) withdraw(c *echo.Context) error {
	key := vocab.KeyID(c.Param("key"))
	o.node.Post(core.WithdrawKey{Key: key})
	return c.JSON(http.StatusOK, map[string]string{"withdrawn": string(key)})
}
