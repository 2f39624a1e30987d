package entry

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// OperatorsHandler returns the HTTP handler of the operators' address.
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

type operators struct {
	node *node.Node
}

// health answers as long as the loop runs.
func (o operators) health(c *echo.Context) error {
	if err := o.node.Read(func(*core.State) {}); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// ready tells the balancer whether the node should get callers.
func (o operators) ready(c *echo.Context) error {
	var why []string
	if err := o.node.Read(func(s *core.State) { why = s.NotReady() }); err != nil {
		why = []string{err.Error()}
	}
	if len(why) > 0 {
		return c.JSON(http.StatusServiceUnavailable, map[string][]string{"not_ready": why})
	}
	return c.String(http.StatusOK, "ready\n")
}

func (o operators) metrics(c *echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.node.WriteMetrics(c.Response())
	return nil
}

func (o operators) dump(c *echo.Context) error {
	var dump core.Dump
	if err := o.node.Read(func(s *core.State) { dump = s.Dump() }); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.JSONPretty(http.StatusOK, dump, "  ")
}

// explain answers "why" questions about a queue and a team, or about a VM.
func (o operators) explain(c *echo.Context) error {
	question := core.ExplainQuery{
		Queue: vocab.QueueID(c.QueryParam("queue")),
		Team:  vocab.TeamID(c.QueryParam("team")),
		VM:    vocab.VMID(c.QueryParam("vm")),
	}
	var lines []string
	if err := o.node.Read(func(s *core.State) { lines = s.Explain(question) }); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.JSON(http.StatusOK, explanation{Lines: lines})
}

// explanation is the answer to "why".
type explanation struct {
	Lines []string `json:"lines"`
}

// withdraw ends a key at once on all nodes, also while the log is down.
func (o operators) withdraw(c *echo.Context) error {
	key := vocab.KeyID(c.Param("key"))
	o.node.Post(core.WithdrawKey{Key: key})
	return c.JSON(http.StatusOK, map[string]string{"withdrawn": string(key)})
}
