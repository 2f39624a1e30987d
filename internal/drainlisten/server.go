package drainlisten

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// pollInterval is the time between two looks at the new connections.
const pollInterval = 5 * time.Millisecond

// Server is an HTTP server on a Listener. Its Shutdown serves the requests of connections that were
// made before it: http.Server closes a connection whose request it reads during a shutdown without
// a response.
type Server struct {
	*http.Server
	listener *Listener

	mu sync.Mutex
	// fresh holds the connections of which no request has been read.
	fresh map[net.Conn]bool
	// served is closed when the listener accepts no more.
	served chan struct{}
}

// NewServer returns a server that has not started to serve. It uses the ConnState of the HTTP server.
func NewServer(server *http.Server, l *Listener) *Server {
	s := &Server{Server: server, listener: l, fresh: map[net.Conn]bool{}, served: make(chan struct{})}
	server.ConnState = s.note
	return s
}

func (s *Server) note(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.fresh[conn] = true
		return
	}
	delete(s.fresh, conn)
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
