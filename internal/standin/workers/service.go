package workers

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sardinehead/sardinehead/internal/services"
	"github.com/sardinehead/sardinehead/internal/vocab"
	"github.com/sardinehead/sardinehead/internal/worker"
)

// pollInterval is the interval at which a usage request that waits checks its
// worker.
const pollInterval = 20 * time.Millisecond

// Service serves workers over HTTP: the list of workers, orders and usage reports.
type Service struct {
	clock clockwork.Clock
	// start is the time of the clock when the service was created. The workers'
	// instants count from it.
	start   time.Time
	mu      sync.Mutex
	workers map[vocab.VMID]*Worker
	// version is the version of the list of workers.
	version uint64
	// changed is closed and replaced with each new version.
	changed chan struct{}
}

// NewService returns a service without workers. The workers' time follows clock.
func NewService(clock clockwork.Clock) *Service {
	return &Service{
		clock:   clock,
		start:   clock.Now(),
		workers: map[vocab.VMID]*Worker{},
		version: 1,
		changed: make(chan struct{}),
	}
}

// Add adds a worker, or replaces the one of the same name.
func (s *Service) Add(w *Worker) {
	s.Update(func() { s.workers[w.Info.Worker] = w })
}

// Update runs a function that changes workers, such as their faults, while no
// request uses them, and gives the list its next version.
func (s *Service) Update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// now returns the time since the start of the service. It is never 0.
func (s *Service) now() vocab.Instant {
	return vocab.Instant(s.clock.Since(s.start) + 1)
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+services.PathWorkers, s.serveList)
	mux.HandleFunc("POST "+services.PathWorkers+"/{worker}/order", s.serveOrder)
	mux.HandleFunc("GET "+services.PathWorkers+"/{worker}/usage", s.serveUsage)
	return mux
}

// serveList responds with the list of workers. If the client already has the
// current version, it waits for the next one, up to the requested wait.
func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	s.mu.Lock()
	version, changed := s.version, s.changed
	s.mu.Unlock()
	if since == version {
		select {
		case <-changed:
		case <-s.clock.After(waitParam(r)):
		case <-r.Context().Done():
		}
	}
	writeJSON(w, s.listing())
}

// listing returns the list of workers, sorted by name.
func (s *Service) listing() services.WorkerListing {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := services.WorkerListing{Version: s.version}
	for _, w := range s.workers {
		listing.Workers = append(listing.Workers, w.Info)
	}
	slices.SortFunc(listing.Workers, func(a, b worker.Info) int { return cmp.Compare(a.Worker, b.Worker) })
	return listing
}

// serveOrder carries out an order. If the order or the answer is lost, it closes
// the connection without a response.
func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order worker.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	target, ok := s.workers[vocab.VMID(r.PathValue("worker"))]
	var answer worker.Answer
	answered := true
	if ok {
		answer, answered = target.Order(s.now(), order)
	}
	s.mu.Unlock()
	switch {
	case !ok:
		writeError(w, http.StatusNotFound, "no such worker")
	case !answered:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, answer)
	}
}

// serveUsage responds with a usage report once an attempt has finished that the
// client has no report of, or after the requested wait.
func (s *Service) serveUsage(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	deadline := s.clock.Now().Add(waitParam(r))
	for {
		s.mu.Lock()
		target, ok := s.workers[vocab.VMID(r.PathValue("worker"))]
		if !ok {
			s.mu.Unlock()
			writeError(w, http.StatusNotFound, "no such worker")
			return
		}
		ready := target.HasUnreported(s.now(), after) || !s.clock.Now().Before(deadline)
		var usage worker.Usage
		if ready {
			usage = target.Usage(s.now())
		}
		s.mu.Unlock()
		if ready {
			writeJSON(w, usage)
			return
		}
		select {
		case <-s.clock.After(pollInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// HasUnreported reports whether an attempt has finished that the client has no
// report of. The last report that the client has is number after. If a later one
// was sent, it is taken as lost, and the next report contains all finished
// attempts again.
func (w *Worker) HasUnreported(now vocab.Instant, after uint64) bool {
	w.Advance(now)
	unreported := false
	for _, a := range w.attempts {
		if after < w.sequence {
			a.reported = false
		}
		if a.phase != worker.Running && !a.reported {
			unreported = true
		}
	}
	return unreported
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

func writeJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(services.ErrorResponse{Error: message})
}
