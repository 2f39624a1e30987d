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

// pollStep is the time between two looks at a worker by a waiting report.
const pollStep = 20 * time.Millisecond

// Service serves a set of workers over HTTP, on a clock of its own.
type Service struct {
	clock   clockwork.Clock
	start   time.Time
	mu      sync.Mutex
	workers map[vocab.VMID]*Worker
	version uint64
	changed chan struct{}
}

// NewService returns a service without workers.
func NewService(clock clockwork.Clock) *Service {
	return &Service{
		clock:   clock,
		start:   clock.Now(),
		workers: map[vocab.VMID]*Worker{},
		version: 1,
		changed: make(chan struct{}),
	}
}

// Add adds a worker.
func (s *Service) Add(w *Worker) {
	s.Do(func() { s.workers[w.Info.Worker] = w })
}

// Do changes workers, for instance their faults, while the service runs, and
// announces a new version of the list.
func (s *Service) Do(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

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

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	s.mu.Lock()
	version, changed := s.version, s.changed
	s.mu.Unlock()
	if since == version {
		select {
		case <-changed:
		case <-s.clock.After(waitOf(r)):
		case <-r.Context().Done():
		}
	}
	write(w, s.listing())
}

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

// serveOrder carries out an order. A lost order or answer aborts the
// connection, before or after the effect.
func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order worker.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	target, ok := s.workers[vocab.VMID(r.PathValue("worker"))]
	var answer worker.Answer
	kept := true
	if ok {
		answer, kept = target.Order(s.now(), order)
	}
	s.mu.Unlock()
	switch {
	case !ok:
		refuse(w, http.StatusNotFound, "no such worker")
	case !kept:
		panic(http.ErrAbortHandler)
	default:
		write(w, answer)
	}
}

// serveUsage answers when an attempt ended, or after the wait.
func (s *Service) serveUsage(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	deadline := s.clock.Now().Add(waitOf(r))
	for {
		s.mu.Lock()
		target, ok := s.workers[vocab.VMID(r.PathValue("worker"))]
		if !ok {
			s.mu.Unlock()
			refuse(w, http.StatusNotFound, "no such worker")
			return
		}
		ready := target.HasNews(s.now(), after) || !s.clock.Now().Before(deadline)
		var usage worker.Usage
		if ready {
			usage = target.Usage(s.now())
		}
		s.mu.Unlock()
		if ready {
			write(w, usage)
			return
		}
		select {
		case <-s.clock.After(pollStep):
		case <-r.Context().Done():
			return
		}
	}
}

// HasNews reports whether an end was not handed out yet. A reader that did not
// get the last report gets its ends again.
func (w *Worker) HasNews(now vocab.Instant, after uint64) bool {
	w.Advance(now)
	news := false
	for _, a := range w.attempts {
		if after < w.sequence {
			a.reported = false
		}
		if a.phase != worker.Running && !a.reported {
			news = true
		}
	}
	return news
}

func waitOf(r *http.Request) time.Duration {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return 0
	}
	return wait
}

func write(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(services.ErrorResponse{Error: text})
}
