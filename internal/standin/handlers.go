package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// PlatformHandler returns a handler that serves the platform's HTTP protocol:
// the log, the VM list and orders to VMs.
func PlatformHandler(log *Log, vms *VMs) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+services.PathStreams+"{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		serveAppend(w, r, log)
	})
	mux.HandleFunc("GET "+services.PathStreams+"{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		serveRead(w, r, log)
	})
	mux.HandleFunc("GET "+services.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		serveVMList(w, r, vms)
	})
	mux.HandleFunc("POST "+services.PathVMs+"/{vm}/{verb}", func(w http.ResponseWriter, r *http.Request) {
		serveVMOrder(w, r, vms)
	})
	return mux
}

func serveAppend(w http.ResponseWriter, r *http.Request, log *Log) {
	var request services.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeResponse(w, nil, errors.Mark(err, services.ErrRejected))
		return
	}
	first, err := log.Append(r.Context(), vocab.StreamID(r.PathValue("stream")), request.Records)
	writeResponse(w, services.AppendResponse{First: uint64(first)}, err)
}

func serveRead(w http.ResponseWriter, r *http.Request, log *Log) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeResponse(w, nil, errors.Mark(err, services.ErrRejected))
		return
	}
	stream := vocab.StreamID(r.PathValue("stream"))
	batch, err := log.Read(r.Context(), stream, vocab.Offset(from), waitParam(r))
	writeResponse(w, batch, err)
}

func serveVMList(w http.ResponseWriter, r *http.Request, vms *VMs) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	listing, err := vms.List(r.Context(), since, waitParam(r))
	writeResponse(w, listing, err)
}

func serveVMOrder(w http.ResponseWriter, r *http.Request, vms *VMs) {
	var request services.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeResponse(w, nil, errors.Mark(err, services.ErrRejected))
		return
	}
	order := services.VMOrder{
		VM:          vocab.VMID(r.PathValue("vm")),
		Incarnation: vocab.VMIncarnation(request.Incarnation),
		Epoch:       vocab.Epoch(request.Epoch),
	}
	var err error
	switch r.PathValue("verb") {
	case "drain":
		err = vms.Drain(r.Context(), order)
	case "reboot":
		err = vms.Reboot(r.Context(), order)
	case "assign":
		err = vms.Assign(r.Context(), order, vocab.PoolID(request.Pool))
	default:
		err = errors.Wrapf(services.ErrRejected, "no order %q", r.PathValue("verb"))
	}
	writeResponse(w, struct{}{}, err)
}

// waitParam returns the maximum wait that a request asks for, or 0 if it has
// none or an invalid one.
func waitParam(r *http.Request) time.Duration {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return 0
	}
	return wait
}

// writeResponse writes out as JSON, or err as an ErrorResponse with its HTTP
// status.
func writeResponse(w http.ResponseWriter, out any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(httpStatus(err))
		response := services.ErrorResponse{Error: err.Error()}
		var trimmed *services.TrimmedError
		if errors.As(err, &trimmed) {
			response.Earliest = uint64(trimmed.Earliest)
		}
		out = response
	}
	_ = json.NewEncoder(w).Encode(out)
}

// httpStatus returns the status that package services decodes into the same
// error.
func httpStatus(err error) int {
	switch {
	case errors.Is(err, services.ErrTrimmed):
		return http.StatusGone
	case errors.Is(err, services.ErrStaleEpoch):
		return http.StatusPreconditionFailed
	case errors.Is(err, services.ErrRejected):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
