package services

import "github.com/sardinehead/sardinehead/internal/record"

// Paths of the platform's HTTP protocol. Stream and VM names are path-escaped.
const (
	// PathStreams is followed by the stream's name and "/records".
	PathStreams = "/v1/streams/"
	// PathVMs is the VM list; followed by "/NAME/drain", "/NAME/reboot" or
	// "/NAME/assign" it takes orders.
	PathVMs = "/v1/vms"
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records []record.Envelope `json:"records"`
}

// AppendResponse answers an append with the offset of its first record.
type AppendResponse struct {
	First uint64 `json:"first"`
}

// OrderRequest is the body of an order to a VM.
type OrderRequest struct {
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	// Pool is set for assignments only.
	Pool string `json:"pool,omitempty"`
}

// ErrorResponse is the body of every answer that is not a success.
type ErrorResponse struct {
	Error string `json:"error"`
	// Earliest is set in the answer to a read of records that are gone.
	Earliest uint64 `json:"earliest,omitempty"`
}
