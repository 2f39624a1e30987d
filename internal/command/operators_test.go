package command

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sardinehead/sardinehead/internal/credential"
	"github.com/sardinehead/sardinehead/internal/publish"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/standin"
)

const exampleConfigDir = "../../examples/duka-jaza"

// operatorFixture serves a log over HTTP and captures the output of commands.
type operatorFixture struct {
	log        *standin.Log
	url        string
	out        bytes.Buffer
	beforePost func()
}

func newOperatorFixture(t *testing.T) *operatorFixture {
	f := &operatorFixture{log: standin.NewLog()}
	handler := standin.PlatformHandler(f.log, standin.NewVMs(nil))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hook := f.beforePost; hook != nil && r.Method == http.MethodPost {
			f.beforePost = nil
			hook()
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *operatorFixture) operatorOptions() OperatorOptions {
	f.out.Reset()
	return OperatorOptions{OutputOptions: OutputOptions{destination: &f.out}, Log: f.url, Name: "amina", Timeout: 10e9}
}

// publish publishes the operators' files of a directory and returns the exit
// code.
func (f *operatorFixture) publish(dir string) int {
	cmd := Publish{OperatorOptions: f.operatorOptions()}
	cmd.Args.Dir = dir
	return reportError(cmd.Execute(nil))
}

// TestOperatorCommands publishes a configuration twice and gives, withdraws and
// lists a key. The secret of the key must be neither on the log nor in the list.
func TestOperatorCommands(t *testing.T) {
	f := newOperatorFixture(t)
	if code := f.publish(exampleConfigDir); code != ExitOK || !strings.Contains(f.out.String(), "accepted as revision 1") {
		t.Fatalf("first publish: %d\n%s", code, &f.out)
	}
	if code := f.publish(exampleConfigDir); code != ExitOK || !strings.Contains(f.out.String(), "no difference to revision 1") {
		t.Fatalf("second publish: %d\n%s", code, &f.out)
	}
	give := KeyGive{OperatorOptions: f.operatorOptions(), Team: "kijiji"}
	if err := give.Execute(nil); err != nil {
		t.Fatal(err)
	}
	text := strings.TrimSpace(f.out.String())
	key, ok := credential.Parse(text)
	recorded, err := (&publish.Client{Log: f.log}).ListKeys(context.Background())
	if !ok || err != nil || !key.Matches(recorded[0].SecretHash) {
		t.Fatalf("the printed key does not match the recorded one: %q, %v", text, err)
	}
	withdraw := KeyWithdraw{OperatorOptions: f.operatorOptions()}
	withdraw.Args.ID = string(key.ID)
	list := KeyList{OperatorOptions: f.operatorOptions()}
	if err := withdraw.Execute(nil); err != nil {
		t.Fatal(err)
	}
	if err := list.Execute(nil); err != nil || !strings.Contains(f.out.String(), "withdrawn") {
		t.Errorf("%v\n%s", err, &f.out)
	}
	batch, _ := f.log.Read(context.Background(), "fleet", 1, 0)
	secret := strings.Split(text, "_")[2]
	for _, rec := range batch.Records {
		if bytes.Contains(rec.Envelope.Body, []byte(secret)) || strings.Contains(f.out.String(), secret) {
			t.Error("the secret is on the log or in the list")
		}
	}
}

// TestConcurrentPublishIsRefused publishes another configuration between the plan
// and the append of a publish. The refusal must name that configuration's operator
// and changes. Invalid files must not reach the log.
func TestConcurrentPublishIsRefused(t *testing.T) {
	f := newOperatorFixture(t)
	f.publish(exampleConfigDir)
	f.beforePost = func() {
		other := publish.Client{Log: f.log, Operator: "baraka"}
		fleet, _ := spec.Load(exampleConfigDir)
		fleet.Teams[0].Share++
		plan, _ := other.Plan(context.Background(), fleet)
		_, _ = other.Publish(context.Background(), plan)
	}
	changed := t.TempDir()
	if err := os.CopyFS(changed, os.DirFS(exampleConfigDir)); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(changed, "fleet.json")
	data, _ := os.ReadFile(path)
	data = bytes.Replace(data, []byte(`"upper_limit": 160`), []byte(`"upper_limit": 150`), 1)
	_ = os.WriteFile(path, data, 0o600)
	code := f.publish(changed)
	for _, want := range []string{
		"team kijiji: upper_limit 160 -> 150",
		"refused: revision 1 is no longer in force",
		"revision 2 was published by baraka",
		"changed meanwhile: team boda: share 10 -> 11",
	} {
		if code != ExitRefused || !strings.Contains(f.out.String(), want) {
			t.Errorf("exit code %d, missing %q in:\n%s", code, want, &f.out)
		}
	}
	_ = os.WriteFile(path, []byte("{"), 0o600)
	if code := f.publish(changed); code != ExitFailed || f.log.Appends() != 3 {
		t.Errorf("invalid files: exit code %d, %d appends", code, f.log.Appends())
	}
}
