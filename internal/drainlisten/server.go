package drainlisten

import (
	"container/list"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	connMetrics = metrics.NewSet()
	// evictions counts the connections of all servers that were closed because too many were open.
	evictions = connMetrics.NewCounter("sardinehead_connections_evicted_total")
)

// WriteMetrics writes the metrics of all servers of the process in the Prometheus text format.
func WriteMetrics(w io.Writer) { connMetrics.WritePrometheus(w) }

// pollInterval is the time between two looks at the new connections.
const pollInterval = 5 * time.Millisecond

// Server is an HTTP server on a Listener. Its Shutdown serves the requests of connections that were
// made before it: http.Server closes a connection whose request it reads during a shutdown without
// a response.
type Server struct {
	*http.Server
	listener *Listener
	// maxConns is the maximum number of open connections; 0 means no maximum.
	maxConns int

	mu sync.Mutex
	// open is the number of open connections.
	open int
	// waiting holds the connections without a complete header of a request, the one that has waited for
	// the longest time first; elements holds the elements of the list by connection.
	waiting  *list.List
	elements map[net.Conn]*list.Element
	// fresh holds the connections of which no request has been read.
	fresh map[net.Conn]bool
	// served is closed when the listener accepts no more.
	served chan struct{}
	// evicted holds the connections that were closed because maxConns were open; they no longer count
	// as open.
	evicted map[net.Conn]bool
}

// NewServer returns a server that has not started to serve. It uses the ConnState of the HTTP server.
// Above maxConns connections it closes the one that has waited for a request for the longest time.
func NewServer(server *http.Server, l *Listener, maxConns int) *Server {
	s := &Server{
		Server: server, listener: l, maxConns: maxConns, waiting: list.New(), elements: map[net.Conn]*list.Element{},
		fresh: map[net.Conn]bool{}, served: make(chan struct{}), evicted: map[net.Conn]bool{},
	}
	server.ConnState = s.note
	return s
}

func (s *Server) note(conn net.Conn, state http.ConnState) {
	surplus := s.track(conn, state)
	if surplus == nil {
		return
	}
	if encrypted, ok := surplus.(*tls.Conn); ok {
		// Closing the TLS connection itself may wait for its peer.
		surplus = encrypted.NetConn()
	}
	_ = surplus.Close()
}

// track notes the state of a connection and returns a connection to close, or nil.
func (s *Server) track(conn net.Conn, state http.ConnState) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element := s.elements[conn]; element != nil {
		s.waiting.Remove(element)
		delete(s.elements, conn)
	}
	delete(s.fresh, conn)
	switch state {
	case http.StateNew:
		s.open++
		s.fresh[conn] = true
		s.elements[conn] = s.waiting.PushBack(conn)
		if s.maxConns > 0 && s.open > s.maxConns {
			return s.evict()
		}
	case http.StateIdle:
		if !s.evicted[conn] {
			s.elements[conn] = s.waiting.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		if !s.evicted[conn] {
			s.open--
		}
		delete(s.evicted, conn)
	}
	return nil
}

// evict returns the connection that has waited for a request for the longest time. The caller closes it.
func (s *Server) evict() net.Conn {
	element := s.waiting.Front()
	conn := element.Value.(net.Conn)
	s.waiting.Remove(element)
	delete(s.elements, conn)
	delete(s.fresh, conn)
	s.evicted[conn] = true
	evictions.Inc()
	s.open--
	return conn
}

// Serve serves until the listener is closed, and returns http.ErrServerClosed then. With TLS the
// server's configuration has the certificates.
func (s *Server) Serve(tls bool) error {
	defer close(s.served)
	var err error
	if tls {
		err = s.ServeTLS(s.listener, "", "")
	} else {
		err = s.Server.Serve(s.listener)
	}
	if s.listener.closesAt.Load() != 0 {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops accepting connections, waits until the requests in progress and those of
// connections just made are served, and closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	end := time.Now().Add(maxDrainTime)
	for time.Now().Before(end) && ctx.Err() == nil && s.hasFresh() {
		time.Sleep(pollInterval)
	}
	return s.Server.Shutdown(ctx)
}

func (s *Server) hasFresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.fresh) > 0
}
