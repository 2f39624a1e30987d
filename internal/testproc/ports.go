// Package testproc starts processes of the program in tests. It reserves their ports,
// keeps their output and notices processes that end unasked.
package testproc

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// The ports are below the kernel's range for outgoing connections and for listeners
// without a given port, so that neither can take the port of a process that has not
// started yet or is being restarted.
const (
	firstPort = 20_000
	lastPort  = 32_000
	// maxPortTries bounds the search for a free port.
	maxPortTries = 10_000
)

// ErrNoPort means that no free port was found.
var ErrNoPort = errors.New("no free port found")

// Addresses returns loopback addresses whose ports no other test uses until t ends.
func Addresses(t testing.TB, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		port, err := reservePort(t)
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", port))
	}
	return addresses
}

// reservePort reserves a free port until t ends. A locked file marks it as reserved for
// the tests of other packages, which run in processes of their own. The kernel releases
// the lock of a test process that crashes.
func reservePort(t testing.TB) (int, error) {
	for range maxPortTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		lock, err := lockPort(port)
		if errors.Is(err, syscall.EWOULDBLOCK) {
			continue
		}
		if err != nil {
			return 0, err
		}
		if !isFree(port) {
			_ = lock.Close()
			continue
		}
		t.Cleanup(func() { _ = lock.Close() })
		return port, nil
	}
	return 0, errors.Wrapf(ErrNoPort, "%d tries", maxPortTries)
}

func lockPort(port int) (*os.File, error) {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("sardinehead-test-port-%d.lock", port))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "reserving a port")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "locking %s", path)
	}
	return file, nil
}

// isFree reports whether a process could listen on the port.
func isFree(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}
