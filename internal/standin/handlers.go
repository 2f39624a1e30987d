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

// PlatformHandler serves the log, the VM list and the VM orders over HTTP.
func PlatformHandler(log *Log, vms *VMs) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+services.PathStreams+"{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		serveAppend(w, r, log)
	})
	mux.HandleFunc("GET "+services.PathStreams+"{stream}/records", func(w http.ResponseWriter, r *http.Request) {
		serveRead(w, r, log)
	})
	mux.HandleFunc("GET "+services.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		serveList(w, r, vms)
	})
	mux.HandleFunc("POST "+services.PathVMs+"/{vm}/{verb}", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(w, r, vms)
	})
	return mux
}

func serveAppend(w http.ResponseWriter, r *http.Request, log *Log) {
	var in services.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(w, nil, errors.Mark(err, services.ErrRejected))
		return
	}
	first, err := log.Append(r.Context(), vocab.StreamID(r.PathValue("stream")), in.Records)
	answer(w, services.AppendResponse{First: uint64(first)}, err)
}

func serveRead(w http.ResponseWriter, r *http.Request, log *Log) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		answer(w, nil, errors.Mark(err, services.ErrRejected))
		return
	}
	stream := vocab.StreamID(r.PathValue("stream"))
	batch, err := log.Read(r.Context(), stream, vocab.Offset(from), waitOf(r))
	answer(w, batch, err)
}

func serveList(w http.ResponseWriter, r *http.Request, vms *VMs) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	listing, err := vms.List(r.Context(), since, waitOf(r))
	answer(w, listing, err)
}

func serveOrder(w http.ResponseWriter, r *http.Request, vms *VMs) {
	var in services.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answer(w, nil, errors.Mark(err, services.ErrRejected))
		return
	}
	order := services.VMOrder{
		VM:          vocab.VMID(r.PathValue("vm")),
		Incarnation: vocab.VMIncarnation(in.Incarnation),
		Epoch:       vocab.Epoch(in.Epoch),
	}
	var err error
	switch r.PathValue("verb") {
	case "drain":
		err = vms.Drain(r.Context(), order)
	case "reboot":
		err = vms.Reboot(r.Context(), order)
	case "assign":
		err = vms.Assign(r.Context(), order, vocab.PoolID(in.Pool))
	default:
		err = errors.Wrapf(services.ErrRejected, "no order %q", r.PathValue("verb"))
	}
	answer(w, struct{}{}, err)
}

func waitOf(r *http.Request) time.Duration {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return 0
	}
	return wait
}

func answer(w http.ResponseWriter, out any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(statusOf(err))
		problem := services.ErrorResponse{Error: err.Error()}
		var trimmed *services.TrimmedError
		if errors.As(err, &trimmed) {
			problem.Earliest = uint64(trimmed.Earliest)
		}
		out = problem
	}
	_ = json.NewEncoder(w).Encode(out)
}

func statusOf(err error) int {
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
