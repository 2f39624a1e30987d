package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/sardinehead/sardinehead/internal/settings"
)

// namedFiles holds the content of the files that the settings in the golden
// file name.
var namedFiles = map[string]string{
	"/etc/sh/secret": strings.Repeat("s", 32),
	"/etc/sh/short":  "short",
	"/etc/sh/a.pem":  "not a certificate",
}

func readFile(path string) ([]byte, error) {
	content, ok := namedFiles[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return []byte(content), nil
}

// TestGolden checks the problems that are reported for the settings in the
// golden file.
func TestGolden(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, td *datadriven.TestData) string {
		_, problems := settings.Check("/etc/sh/entry.json", []byte(td.Input), readFile)
		if len(problems) == 0 {
			return "no problems"
		}
		return problems.Error()
	})
}

// FuzzCheck checks that settings without errors have a peer address, a stop
// timeout and a log address.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"node":"a","peers":{"address":"[::1]:1","plain":true},"first_peers":["x"],"times":{"stop":"1s"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := settings.Check("/etc/sh/entry.json", data, readFile)
		if problems.Err() == nil && (!s.Peers.Address.IsValid() || s.Times.StopTimeout <= 0 || s.Platform.Log == "") {
			t.Errorf("accepted %+v", s)
		}
	})
}
