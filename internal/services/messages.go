package services

import "github.com/sardinehead/sardinehead/internal/record"

// Paths of the platform's HTTP API. Names of streams and VMs are path-escaped.
const (
	// PathStreams is the prefix of the records of a stream: it is followed by the
	// stream's name and "/records".
	PathStreams = "/v1/streams/"
	// PathVMs is the path of the VM list. With "/NAME/drain", "/NAME/reboot" or
	// "/NAME/assign" appended it accepts orders for a VM.
	PathVMs = "/v1/vms"
)

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Records []record.Envelope `json:"records"`
}

// AppendResponse is the response body of an append.
type AppendResponse struct {
	// First is the offset of the first appended record.
	First uint64 `json:"first"`
}

// OrderRequest is the request body of an order for a VM.
type OrderRequest struct {
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	// Pool is set only for assign.
	Pool string `json:"pool,omitempty"`
}

// ErrorResponse is the body of every response with a status other than 200.
type ErrorResponse struct {
	Error string `json:"error"`
	// Earliest is the earliest offset that the log still keeps. It is set in the
	// response to a read of records that the log no longer keeps.
	Earliest uint64 `json:"earliest,omitempty"`
}
