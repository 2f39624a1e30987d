// Package daemon assembles and runs an entry process.
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

// Process is an entry process without its listeners.
type Process struct {
	Node    *node.Node
	Forward *forward.Client
	// Callers, Operators and Peers are the handlers of the three listeners.
	Callers    http.Handler
	Operators  http.Handler
	Peers      http.Handler
	peerClient *peer.Client
}

// PeerAuth holds what entry processes need to authenticate each other.
type PeerAuth struct {
	// Secret is the secret that all entry processes share.
	Secret []byte
	// TLS is the client configuration for calls to peers; nil for plain HTTP.
	TLS *tls.Config
}

// Platform holds the base addresses of the platform's services.
type Platform struct {
	Log    string
	VMList string
}

// NewProcess assembles a process. Log events are written to w.
func NewProcess(self core.Identity, p Platform, auth PeerAuth, w io.Writer) *Process {
	client := peer.NewClient(auth.Secret, auth.TLS)
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
		Node:       n,
		Forward:    f,
		Callers:    entry.NewCallers(n, f).Handler(),
		Operators:  entry.OperatorsHandler(n),
		Peers:      peer.Handler(n, auth.Secret),
		peerClient: client,
	}
}

// Close closes the idle connections to upstreams and peers.
func (p *Process) Close() {
	p.Forward.Close()
	p.peerClient.Close()
}

// NewIncarnation returns a random incarnation for a new process. It is never 0.
func NewIncarnation() vocab.Incarnation {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return vocab.Incarnation(binary.LittleEndian.Uint64(raw[:]) | 1)
}
