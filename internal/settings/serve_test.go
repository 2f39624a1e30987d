package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/sardinehead/sardinehead/internal/settings"
)

const serveSettings = `{
  "node": "front-1", "zone": "rv-a", "strength": "0.4", "memory_mib": 284,
  "callers": "10.1.0.23:8340", "readiness": "10.1.0.23:8343", "operators": "10.1.0.23:7000",
  "store": "http://10.200.1.7:8344", "machines": "http://10.200.0.82:8344", "orders_per_second": "64.0",
  "grace": "6s", "lease_most": "6000ms", "record_bytes": 262144, "append_bytes": 2097152
}`

func TestServeSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := settings.CheckServe("serve.json", []byte(serveSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.MaxLease.D()).To(gomega.Equal(6 * time.Second))
	g.Expect([]int{s.MaxRecordBytes, s.MaxAppendBytes}).To(gomega.Equal([]int{262144, 2097152}))
	g.Expect(s.CPUShare).To(gomega.BeNumerically("==", 0.4))
	g.Expect(s.KeepFinished.D()).To(gomega.Equal(2 * time.Minute))
}

func TestInvalidServeSettingsAreRejected(t *testing.T) {
	for name, content := range map[string]string{
		"empty":                           "",
		"truncated":                       serveSettings[:len(serveSettings)/2],
		"store missing":                   strings.Replace(serveSettings, `"store": "http://10.200.1.7:8344", `, "", 1),
		"unknown field":                   strings.Replace(serveSettings, `"zone"`, `"zoone"`, 1),
		"strength 0":                      strings.Replace(serveSettings, `"0.4"`, `"0"`, 1),
		"strength not a number":           strings.Replace(serveSettings, `"0.4"`, `"strong"`, 1),
		"host name instead of IP address": strings.Replace(serveSettings, "10.200.1.7", "store.example", 1),
		"records too small":               strings.Replace(serveSettings, "262144", "1000", 1),
		"appends smaller than 4 records":  strings.Replace(serveSettings, "2097152", "262144", 1),
		"lease above maximum":             strings.Replace(serveSettings, "6000ms", "2h", 1),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := settings.CheckServe("serve.json", []byte(content))
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
	g := gomega.NewWithT(t)
	_, err := settings.LoadServe(filepath.Join(t.TempDir(), "none.json"))
	g.Expect(errors.Is(err, settings.ErrUnreadable)).To(gomega.BeTrue())
	path := filepath.Join(t.TempDir(), "serve.json")
	g.Expect(os.WriteFile(path, []byte(serveSettings), 0o600)).To(gomega.Succeed())
	_, err = settings.LoadServe(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
