package testproc

import (
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// command is a running program of a test.
type command struct{ *exec.Cmd }

// Signal implements Child.
func (c command) Signal(s os.Signal) error { return c.Process.Signal(s) }

// run returns a starter of a program.
func run(path string, args ...string) Starter {
	return func(output *os.File) (Child, error) {
		cmd := exec.Command(path, args...)
		cmd.Stdout, cmd.Stderr = output, output
		return command{cmd}, cmd.Start()
	}
}

// fakeTest records a failure instead of failing, and runs its cleanups on demand.
type fakeTest struct {
	testing.TB
	failed   bool
	cleanups []func()
	logged   string
}

func (f *fakeTest) Helper()          {}
func (f *fakeTest) Cleanup(c func()) { f.cleanups = append(f.cleanups, c) }
func (f *fakeTest) Failed() bool     { return f.failed }
func (f *fakeTest) TempDir() string  { return f.TB.TempDir() }
func (f *fakeTest) Logf(format string, args ...any) {
	f.logged += format
	for _, a := range args {
		if text, ok := a.(string); ok {
			f.logged += text
		}
	}
}
func (f *fakeTest) Fatalf(string, ...any) { f.failed = true }

func (f *fakeTest) end() {
	for _, c := range f.cleanups {
		c()
	}
}

func TestReservedPortsAreNotGivenTwice(t *testing.T) {
	g := NewWithT(t)
	addresses := Addresses(t, 200)
	seen := map[string]bool{}
	for _, a := range addresses {
		g.Expect(seen[a]).To(BeFalse(), a)
		seen[a] = true
		l, err := net.Listen("tcp", a)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Close()).To(Succeed())
	}
}

func TestProcessThatEndsUnaskedFailsTheTest(t *testing.T) {
	g := NewWithT(t)
	fake := &fakeTest{TB: t}
	p := New(fake, t.TempDir(), "p", run("/bin/sh", "-c", "echo the reason; exit 3"))
	g.Expect(p.Start()).To(Succeed())
	g.Eventually(func() bool { p.CheckRunning(fake); return fake.failed }).Should(BeTrue())
	fake.end()
	g.Expect(fake.logged).To(ContainSubstring("the reason"))
}

func TestProcessThatIsEndedByTheTest(t *testing.T) {
	g := NewWithT(t)
	fake := &fakeTest{TB: t}
	p := New(fake, t.TempDir(), "p", run("/bin/sleep", "60"))
	g.Expect(p.Start()).To(Succeed())
	g.Expect(p.End(syscall.SIGTERM, 5*time.Second)).To(MatchError(ContainSubstring("terminated")))
	p.CheckRunning(fake)
	g.Expect(p.Start()).To(Succeed(), "it can start again")
	fake.end()
	g.Expect(fake.failed).To(BeFalse())
}
