package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/configcheck"
	"github.com/sardinehead/sardinehead/platform"
)

const checkedConfig = `{"version": 8,
 "routes": [{"name": "r", "host": "h.example", "path_prefix": "/q/", "service": "s", "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 600}],
 "services": [{"name": "s"}, {"name": "spare", "spare": true}],
 "tenants": [{"name": "t", "api_keys": ["secret"], "weight": 5, "cap": {"cpu": 80000, "mem_mb": 100000}}]}`

// checkConfig runs the command on a file with this content, and returns its output and exit code.
func checkConfig(t *testing.T, content string, edit func(*CheckConfig), extra ...string) (string, int) {
	var out bytes.Buffer
	cmd := CheckConfig{OutputOptions: OutputOptions{destination: &out}}
	cmd.Args.File = filepath.Join(t.TempDir(), "c.json")
	gomega.NewWithT(t).Expect(os.WriteFile(cmd.Args.File, []byte(content), 0o600)).To(gomega.Succeed())
	edit(&cmd)
	code := reportError(cmd.Execute(extra))
	return out.String(), code
}

// TestCheckConfigAgainstANode compares with what /config of a node shows: hashed keys.
func TestCheckConfigAgainstANode(t *testing.T) {
	g := gomega.NewWithT(t)
	content, status := []byte("null"), http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(content)
	}))
	t.Cleanup(server.Close)
	node := func(c *CheckConfig) { c.Node = server.URL }

	_, code := checkConfig(t, checkedConfig, node)
	g.Expect(code).To(gomega.Equal(exitConfigErrors), "no configuration to compare with")

	inForce := platform.CheckConfig("c", []byte(strings.Replace(checkedConfig, `"version": 8`, `"version": 7`, 1))).Config
	content, _ = json.Marshal(configcheck.WithoutSecrets(inForce))
	g.Expect(string(content)).NotTo(gomega.ContainSubstring("secret"))
	out, code := checkConfig(t, checkedConfig, node)
	g.Expect(out).To(gomega.HaveSuffix("c.json: 0 errors, 0 warnings\n"))
	g.Expect(code).To(gomega.Equal(ExitOK))

	other := strings.Replace(checkedConfig, `"secret"`, `"other"`, 1)
	out, code = checkConfig(t, other, func(c *CheckConfig) { c.Node, c.Strict = server.URL, true })
	g.Expect(out).To(gomega.ContainSubstring(`rule 302: 1 of 1 keys of tenant "t" stop working`))
	g.Expect(out).To(gomega.HaveSuffix("0 errors, 2 warnings\n"))
	g.Expect(code).To(gomega.Equal(exitConfigWarnings))

	status = http.StatusServiceUnavailable
	_, code = checkConfig(t, checkedConfig, node)
	g.Expect(code).To(gomega.Equal(exitConfigErrors))
}

// TestCheckConfigOutput: a script reads a list also without problems, and a second file is not
// passed over in silence.
func TestCheckConfigOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	out, code := checkConfig(t, checkedConfig, func(c *CheckConfig) { c.Format = "json" })
	g.Expect(out).To(gomega.MatchJSON(`{"errors": 0, "warnings": 0, "problems": []}`))
	g.Expect(code).To(gomega.Equal(ExitOK))

	out, code = checkConfig(t, strings.Replace(checkedConfig, `"stretch": 1.6`, `"stretch": 0`, 1), func(*CheckConfig) {})
	g.Expect(out).To(gomega.HaveSuffix("c.json: 1 error, 0 warnings\n"))
	g.Expect(code).To(gomega.Equal(exitConfigErrors))

	_, code = checkConfig(t, checkedConfig, func(*CheckConfig) {}, "second.json")
	g.Expect(code).To(gomega.Equal(exitConfigErrors))
}
