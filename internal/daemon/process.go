// Package daemon puts the parts of one entry process together and runs them.
package daemon

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net/http"

	"github.com/sardinehead/sardinehead/internal/core"
	"github.com/sardinehead/sardinehead/internal/entry"
	"github.com/sardinehead/sardinehead/internal/eventlog"
	"github.com/sardinehead/sardinehead/internal/forward"
	"github.com/sardinehead/sardinehead/internal/node"
	"github.com/sardinehead/sardinehead/internal/peer"
	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Process is one entry process without its listeners.
type Process struct {
	Node      *node.Node
	Forward   *forward.Client
	Callers   http.Handler
	Operators http.Handler
	Peers     http.Handler
	client    *peer.Client
}

// Trust is how entry processes know each other.
type Trust struct {
	// Secret is shared by all entry processes.
	Secret []byte
	// TLS is the configuration for calls to peers; nil for plain text.
	TLS *tls.Config
}

// Platform holds the base addresses of the platform's services.
type Platform struct {
	Log    string
	VMList string
}

// NewProcess puts a process together. Events are written to w.
func NewProcess(self core.Identity, p Platform, trust Trust, w io.Writer) *Process {
	client := peer.NewClient(trust.Secret, trust.TLS)
	vms := services.NewVMClient(p.VMList)
	n := node.New(self, node.Services{
		Log:     services.NewLogClient(p.Log),
		VMs:     vms,
		Pools:   vms,
		Events:  eventlog.New(w, string(self.Node)),
		Peers:   client,
		Workers: services.NewWorkersClient(p.VMList),
	})
	f := forward.New(string(self.Node))
	return &Process{
		Node:      n,
		Forward:   f,
		Callers:   entry.NewCallers(n, f).Handler(),
		Operators: entry.OperatorsHandler(n),
		Peers:     peer.Handler(n, trust.Secret),
		client:    client,
	}
}

// Close closes the idle connections of the process.
func (p *Process) Close() {
	p.Forward.Close()
	p.client.Close()
}

// NewIncarnation draws an incarnation for a process that starts. It is never 0.
func NewIncarnation() vocab.Incarnation {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return vocab.Incarnation(binary.LittleEndian.Uint64(raw[:]) | 1)
}
