// Package bodylimit bounds the memory and the time that requests, above all their bodies, take while they
// are received.
package bodylimit

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// ErrBusy means that the bodies being received take all the memory there is for them.
var ErrBusy = errors.New("too many request bodies are being received")

const (
	// freeBytes is the size up to which a body is not counted. The number of connections bounds
	// what such bodies take.
	freeBytes = 8 << 10
	// smallBytes is the size up to which a body may use the whole budget. Larger ones leave a
	// reserve of 1/reserveShare of it.
	smallBytes   = 64 << 10
	reserveShare = 4
	// retryAfter is the value of Retry-After in a refusal, in seconds.
	retryAfter = "1"
)

// MaxHeaderBytes is the maximum size of the header of a request.
const MaxHeaderBytes = 16 << 10

// Budget is the number of bytes of bodies that a process receives at one time.
type Budget struct {
	bytes int64

	mu   sync.Mutex
	used int64
}

// NewBudget returns a budget in bytes.
func NewBudget(bytes int64) *Budget { return &Budget{bytes: bytes} }

var (
	bodyMetrics = metrics.NewSet()
	// refused counts the bodies for which there was no memory, tooLarge those above the maximum size.
	refused  = bodyMetrics.NewCounter(`sardinehead_request_bodies_refused_total{reason="memory"}`)
	tooLarge = bodyMetrics.NewCounter(`sardinehead_request_bodies_refused_total{reason="size"}`)
)

// WriteMetrics writes the numbers of refused bodies in the Prometheus text format.
func WriteMetrics(w io.Writer) { bodyMetrics.WritePrometheus(w) }

// take counts n more bytes of a body, which has total bytes with them.
func (b *Budget) take(n, total int64) bool {
	limit := b.bytes
	if total > smallBytes {
		limit -= b.bytes / reserveShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > limit {
		return false
	}
	b.used += n
	return true
}

func (b *Budget) release(n int64) {
	b.mu.Lock()
	b.used -= n
	b.mu.Unlock()
}

// Limits are the limits of the bodies of an HTTP server's requests.
type Limits struct {
	// Budget is shared by the servers of a process.
	Budget *Budget
	// MaxBytes is the maximum size of a body; 0 means no maximum.
	MaxBytes int64
	// Timeout is the maximum time that the next progressBytes of a body, or its end, take.
	Timeout time.Duration
	// Streams is set if handlers pass bodies on without keeping them, apart from those that they Keep.
	Streams bool
}

// Keep counts the body of a request whose server streams bodies, because the handler keeps it.
func Keep(r *http.Request) {
	if b, ok := r.Body.(*body); ok {
		b.limits.Streams = false
	}
}

// progressBytes is the size of the part of a body that has to arrive within Limits.Timeout.
const progressBytes = 64 << 10

// Handler returns a handler whose requests have limited bodies. The read of a body fails with
// *http.MaxBytesError or ErrBusy, and the connection is closed after the response.
func (l Limits) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		if l.MaxBytes > 0 && r.ContentLength > l.MaxBytes {
			tooLarge.Inc()
			Close(w)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		b := &body{limits: l, source: r.Body, w: w, controller: http.NewResponseController(w)}
		if l.MaxBytes > 0 {
			b.source = http.MaxBytesReader(w, r.Body, l.MaxBytes)
		}
		// Without a deadline the server itself waits for the rest of a body that the handler has not read.
		if err := b.setDeadline(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		r.Body = b
		defer b.release()
		next.ServeHTTP(w, r)
	})
}

// Refuse responds to a request whose body cannot be read because of an error, and reports whether it was one of
// the limits.
func Refuse(w http.ResponseWriter, err error) bool {
	var sizeError *http.MaxBytesError
	switch {
	case errors.As(err, &sizeError):
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrBusy):
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// Close makes the server close the connection after the response without reading the rest of the body.
func Close(w http.ResponseWriter) {
	// A reader above its limit also makes the server wait until the client has the response, because
	// closing a connection with unread data resets it.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// body is the body of a request.
type body struct {
	limits     Limits
	source     io.ReadCloser
	w          http.ResponseWriter
	controller *http.ResponseController
	// read is the number of bytes read, counted that of those taken from the budget, due the number
	// at which the deadline moves on.
	read, counted, due int64
	err                error
}

func (b *body) setDeadline() error {
	b.due = b.read + progressBytes
	return b.controller.SetReadDeadline(time.Now().Add(b.limits.Timeout))
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		// A handler may take longer than the timeout once it has the body.
		if cause := b.controller.SetReadDeadline(time.Time{}); cause != nil {
			err = cause
		}
	case err != nil:
		var sizeError *http.MaxBytesError
		if errors.As(err, &sizeError) {
			tooLarge.Inc()
		}
		Close(b.w)
	case b.read >= b.due:
		err = b.setDeadline()
	}
	b.err = err
	if taken := b.count(); !taken {
		refused.Inc()
		Close(b.w)
		b.err = ErrBusy
		return 0, ErrBusy
	}
	return n, err
}

// count takes the bytes read from the budget.
func (b *body) count() bool {
	more := b.read - freeBytes - b.counted
	if more <= 0 || b.limits.Streams {
		return true
	}
	if !b.limits.Budget.take(more, b.read) {
		return false
	}
	b.counted += more
	return true
}

// release returns what the body has taken from the budget.
func (b *body) release() {
	if b.counted > 0 {
		b.limits.Budget.release(b.counted)
	}
}

// Close implements io.Closer.
func (b *body) Close() error { return b.source.Close() }
