package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Upstream is a stand-in for one instance of a service. It answers every
// request, unless an injected fault prevents that.
type Upstream struct {
	// Name is the value of the response header "Upstream".
	Name string
	// Concurrency, if set, counts the running requests of all upstreams that share it.
	Concurrency *ConcurrencyCounter

	mu     sync.Mutex
	faults UpstreamFaults
	// runsByOrder is the number of runs for each value of the request header
	// "Order".
	runsByOrder map[string]int
	running     int
	maxRunning  int
}

// UpstreamFaults are the run time and the faults of an Upstream. At most one of
// Refuse, Silent, Reset, DuplicateResponse and CutAfter applies, the first in this order.
type UpstreamFaults struct {
	// RunTime is the run time of each request that does not set its own.
	RunTime time.Duration
	// Silent leaves requests without a response until the client closes the
	// connection.
	Silent bool
	// Reset closes the connection after the run, without a response.
	Reset bool
	// CutAfter closes the connection after this number of bytes of the response
	// body; 0 sends the whole body.
	CutAfter int
	// Draining adds the header that announces that the upstream is about to stop.
	Draining bool
	// DuplicateResponse sends every response twice on the same connection.
	DuplicateResponse bool
	// Refuse answers with status 503 and the outcome "not-run", without a run.
	Refuse bool
}

// NewUpstream returns an Upstream without faults.
func NewUpstream(name string) *Upstream {
	return &Upstream{Name: name, runsByOrder: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Runs returns the number of runs of requests with this value of the header
// "Order".
func (u *Upstream) Runs(order string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runsByOrder[order]
}

// TotalRuns returns the number of runs of all requests.
func (u *Upstream) TotalRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.runsByOrder {
		total += n
	}
	return total
}

// MaxRunning returns the maximum number of requests that ran at the same time.
func (u *Upstream) MaxRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// ServeHTTP implements http.Handler. The query parameter "bytes=N" requests a
// response body of N bytes, "work=1s" a run time.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := u.currentFaults()
	w.Header().Set("Sardinehead-Attempt", r.Header.Get("Sardinehead-Attempt"))
	w.Header().Set("Upstream", u.Name)
	w.Header().Set("Order", r.Header.Get("Order"))
	if faults.Draining {
		w.Header().Set("Sardinehead-Draining", "true")
	}
	if faults.Refuse {
		w.Header().Set("Sardinehead-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	u.startRun(r.Header.Get("Order"))
	defer u.finishRun()
	u.Concurrency.requestStarted(r.Header.Get("Sardinehead-Team"))
	defer u.Concurrency.requestFinished(r.Header.Get("Sardinehead-Team"))
	time.Sleep(runTime(r, faults.RunTime))
	u.respond(w, r, faults)
}

// respond responds to a request that has run, according to the faults.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, faults UpstreamFaults) {
	switch {
	case faults.Silent:
		<-r.Context().Done()
	case faults.Reset:
		panic(http.ErrAbortHandler)
	case faults.DuplicateResponse:
		respondTwice(w, r)
	case faults.CutAfter > 0:
		w.Header().Set("Content-Length", strconv.Itoa(faults.CutAfter*2))
		writeBytes(w, faults.CutAfter)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
			w.Header().Set("Content-Length", strconv.Itoa(n))
			writeBytes(w, n)
			return
		}
		fmt.Fprintf(w, "%s %s answered by %s\n", r.Method, r.URL.Path, u.Name)
	}
}

func (u *Upstream) currentFaults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

func (u *Upstream) startRun(order string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runsByOrder[order]++
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
}

func (u *Upstream) finishRun() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// runTime returns the run time that a request sets, or else defaultTime.
func runTime(r *http.Request, defaultTime time.Duration) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("work"))
	if err != nil {
		return defaultTime
	}
	return d
}

// zeroes is the content of response bodies.
var zeroes = make([]byte, 32<<10)

func writeBytes(w io.Writer, n int) {
	for n > 0 {
		size := min(n, len(zeroes))
		if _, err := w.Write(zeroes[:size]); err != nil {
			return
		}
		n -= size
	}
}

// respondTwice sends a complete response twice on the same connection, with a
// short delay between the two.
func respondTwice(w http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	response := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nOrder: " + r.Header.Get("Order") +
		"\r\nSardinehead-Attempt: " + r.Header.Get("Sardinehead-Attempt") + "\r\n\r\nyes"
	for range 2 {
		_, _ = buffer.WriteString(response)
		_ = buffer.Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
