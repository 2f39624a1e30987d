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
// request and shows faults on demand.
type Upstream struct {
	// Name is given back in the header "Upstream".
	Name string
	// Fleet, if set, counts what runs on all upstreams together.
	Fleet *FleetCount

	mu      sync.Mutex
	faults  UpstreamFaults
	runs    map[string]int
	running int
	most    int
}

// UpstreamFaults are the faults that an Upstream can show.
type UpstreamFaults struct {
	// Work is how long each request runs.
	Work time.Duration
	// Silent makes requests run without ever being answered.
	Silent bool
	// Reset closes the connection after the request was run.
	Reset bool
	// CutAfter breaks the answer off after so many bytes; 0 for never.
	CutAfter int
	// Draining makes every answer say that the upstream is leaving.
	Draining bool
	// Late answers twice: a second answer follows on the same connection.
	Late bool
	// Refuse makes the upstream attest that it did not run the request.
	Refuse bool
}

// NewUpstream returns an upstream without faults.
func NewUpstream(name string) *Upstream {
	return &Upstream{Name: name, runs: map[string]int{}}
}

// SetFaults replaces the faults in force.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Runs returns how often a request with that value of the header "Order" was run.
func (u *Upstream) Runs(order string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[order]
}

// Total returns how many requests were run.
func (u *Upstream) Total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.runs {
		total += n
	}
	return total
}

// MostRunning returns the highest number of requests that ran at one time.
func (u *Upstream) MostRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.most
}

// ServeHTTP implements http.Handler. The query "bytes=N" asks for an answer of
// N bytes, "work=1s" for a run of that length.
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
	u.begin(r.Header.Get("Order"))
	defer u.end()
	u.Fleet.begin(r.Header.Get("Sardinehead-Team"))
	defer u.Fleet.end(r.Header.Get("Sardinehead-Team"))
	time.Sleep(workTime(r, faults.Work))
	u.answer(w, r, faults)
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, faults UpstreamFaults) {
	switch {
	case faults.Silent:
		<-r.Context().Done()
	case faults.Reset:
		panic(http.ErrAbortHandler)
	case faults.Late:
		answerTwice(w, r)
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

func (u *Upstream) begin(order string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[order]++
	u.running++
	u.most = max(u.most, u.running)
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func workTime(r *http.Request, otherwise time.Duration) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("work"))
	if err != nil {
		return otherwise
	}
	return d
}

var filler = make([]byte, 32<<10)

func writeBytes(w io.Writer, n int) {
	for n > 0 {
		k := min(n, len(filler))
		if _, err := w.Write(filler[:k]); err != nil {
			return
		}
		n -= k
	}
}

// answerTwice sends the same whole answer twice on the connection, the second
// one a moment later.
func answerTwice(w http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nOrder: " + r.Header.Get("Order") +
		"\r\nSardinehead-Attempt: " + r.Header.Get("Sardinehead-Attempt") + "\r\n\r\nyes"
	for range 2 {
		_, _ = buffer.WriteString(text)
		_ = buffer.Flush()
		time.Sleep(20 * time.Millisecond)
	}
}
