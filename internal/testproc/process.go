package testproc

import (
	"bytes"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Child is a running program.
type Child interface {
	Signal(os.Signal) error
	Wait() error
}

// Starter starts a program with its output going to a file. Test files implement it: only
// they start programs.
type Starter func(output *os.File) (Child, error)

// Process is a program that a test starts, and may start again after it has ended.
type Process struct {
	name, logPath string
	starter       Starter

	mu    sync.Mutex
	child Child
	// ended is closed once the process has ended; endedAsked is set if the test ended it.
	ended      chan struct{}
	endedAsked bool
	exit       error
}

// New returns a process that is not started. Its output goes to a file in dir. When t
// ends, the process is killed, and if t has failed the end of its output is logged.
func New(t testing.TB, dir, name string, starter Starter) *Process {
	p := &Process{name: name, logPath: filepath.Join(dir, name+".log"), starter: starter}
	t.Cleanup(func() {
		p.Signal(syscall.SIGCONT)
		_ = p.End(syscall.SIGKILL, time.Second)
		if t.Failed() {
			t.Logf("end of the output of %s:\n%s", p.name, p.outputTail())
		}
	})
	return p
}

// Start starts the process.
func (p *Process) Start() error {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the output file")
	}
	defer logFile.Close()
	child, err := p.starter(logFile)
	if err != nil {
		return errors.Wrapf(err, "starting %s", p.name)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.child, p.ended, p.endedAsked = child, ended, false
	p.mu.Unlock()
	go func() {
		err := child.Wait()
		p.mu.Lock()
		p.exit = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.child != nil && !p.hasEnded() {
		_ = p.child.Signal(s)
	}
}

// End ends the process by a signal and returns its exit error. It kills the process
// after the timeout.
func (p *Process) End(s syscall.Signal, timeout time.Duration) error {
	p.mu.Lock()
	ended := p.ended
	p.endedAsked = true
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	p.Signal(s)
	select {
	case <-ended:
	case <-time.After(timeout):
		p.Signal(syscall.SIGKILL)
		<-ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exit
}

// CheckRunning fails the test if the process has ended without having been asked to.
func (p *Process) CheckRunning(t testing.TB) {
	t.Helper()
	if err := p.EndedUnasked(); err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
}

// ErrEndedUnasked means that a process has ended although the test did not end it.
var ErrEndedUnasked = errors.New("the process has ended unasked")

// EndedUnasked returns ErrEndedUnasked with the exit status if the process has ended
// without having been asked to.
func (p *Process) EndedUnasked() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.child == nil || p.endedAsked || !p.hasEnded() {
		return nil
	}
	return errors.Wrapf(ErrEndedUnasked, "%v", p.exit)
}

func (p *Process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// maxTailBytes bounds the output that is logged for a failed test.
const maxTailBytes = 4000

func (p *Process) outputTail() string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(bytes.ToValidUTF8(content[max(0, len(content)-maxTailBytes):], nil))
}
