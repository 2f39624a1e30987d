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

const duka = "../../examples/duka-jaza"

// operatorsDesk is a log served over HTTP and what the commands wrote.
type operatorsDesk struct {
	log  *standin.Log
	url  string
	out  bytes.Buffer
	race func()
}

func newDesk(t *testing.T) *operatorsDesk {
	d := &operatorsDesk{log: standin.NewLog()}
	handler := standin.PlatformHandler(d.log, standin.NewVMs(nil))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if race := d.race; race != nil && r.Method == http.MethodPost {
			d.race = nil
			race()
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	d.url = server.URL
	return d
}

func (d *operatorsDesk) operator() Operator {
	d.out.Reset()
	return Operator{Output: Output{to: &d.out}, Log: d.url, Name: "amina", Timeout: 10e9}
}

// publish publishes a tree and returns the exit code.
func (d *operatorsDesk) publish(dir string) int {
	cmd := Publish{Operator: d.operator()}
	cmd.Args.Dir = dir
	return exitCode(cmd.Execute(nil))
}

func TestOperatorsSession(t *testing.T) {
	d := newDesk(t)
	if code := d.publish(duka); code != ExitOK || !strings.Contains(d.out.String(), "accepted as revision 1") {
		t.Fatalf("first publish: %d\n%s", code, &d.out)
	}
	if code := d.publish(duka); code != ExitOK || !strings.Contains(d.out.String(), "no difference to revision 1") {
		t.Fatalf("second publish: %d\n%s", code, &d.out)
	}
	give := KeyGive{Operator: d.operator(), Team: "kijiji"}
	if err := give.Execute(nil); err != nil {
		t.Fatal(err)
	}
	text := strings.TrimSpace(d.out.String())
	key, ok := credential.Parse(text)
	recorded, err := (&publish.Client{Log: d.log}).ListKeys(context.Background())
	if !ok || err != nil || !key.Matches(recorded[0].SecretHash) {
		t.Fatalf("not a key that the log knows: %q, %v", text, err)
	}
	withdraw := KeyWithdraw{Operator: d.operator()}
	withdraw.Args.ID = string(key.ID)
	list := KeyList{Operator: d.operator()}
	if err := withdraw.Execute(nil); err != nil {
		t.Fatal(err)
	}
	if err := list.Execute(nil); err != nil || !strings.Contains(d.out.String(), "withdrawn") {
		t.Errorf("%v\n%s", err, &d.out)
	}
	batch, _ := d.log.Read(context.Background(), "fleet", 1, 0)
	secret := strings.Split(text, "_")[2]
	for _, rec := range batch.Records {
		if bytes.Contains(rec.Envelope.Body, []byte(secret)) || strings.Contains(d.out.String(), secret) {
			t.Error("the secret is on the log or in the list")
		}
	}
}

func TestRacingPublishIsRefusedWithTheChange(t *testing.T) {
	d := newDesk(t)
	d.publish(duka)
	d.race = func() {
		other := publish.Client{Log: d.log, Operator: "baraka"}
		fleet, _ := spec.Load(duka)
		fleet.Teams[0].Share++
		plan, _ := other.Plan(context.Background(), fleet)
		_, _ = other.Publish(context.Background(), plan)
	}
	changed := t.TempDir()
	if err := os.CopyFS(changed, os.DirFS(duka)); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(changed, "fleet.json")
	data, _ := os.ReadFile(path)
	data = bytes.Replace(data, []byte(`"upper_limit": 160`), []byte(`"upper_limit": 150`), 1)
	_ = os.WriteFile(path, data, 0o600)
	code := d.publish(changed)
	for _, want := range []string{
		"team kijiji: upper_limit 160 -> 150",
		"refused: revision 1 is no longer in force",
		"revision 2 was published by baraka",
		"changed meanwhile: team boda: share 10 -> 11",
	} {
		if code != ExitRefused || !strings.Contains(d.out.String(), want) {
			t.Errorf("exit code %d, missing %q in:\n%s", code, want, &d.out)
		}
	}
	_ = os.WriteFile(path, []byte("{"), 0o600)
	if code := d.publish(changed); code != ExitFailed || d.log.Appends() != 3 {
		t.Errorf("broken files: exit code %d, %d appends", code, d.log.Appends())
	}
}
