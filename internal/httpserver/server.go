// Package httpserver serves HTTP so that every request which was read gets an answer, also while the server
// stops.
//
// http.Server.Shutdown closes the connections on which it reads a request afterwards, and whatever it closes as
// idle may have been read a moment before. A Server only stops accepting connections, and goes on serving the
// open ones until it is closed. It ends the wait of idle connections by a deadline, so that each of them ends in
// the goroutine that would read its next request.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is an HTTP server over one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	// serve serves the listener.
	serve func(net.Listener) error
	// open counts the connections.
	open atomic.Int64
	mu   sync.Mutex
	// active contains the connections with a request whose answer is not written yet, and idle those
	// that wait for their next request.
	active, idle map[net.Conn]struct{}
	// stopping is closed when the server stops accepting connections, and closed by Close.
	stopping, closed chan struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithTLS makes the server use the TLS configuration of its http.Server.
func WithTLS() Option {
	return func(s *Server) { s.serve = func(l net.Listener) error { return s.http.ServeTLS(l, "", "") } }
}

// idleCheckInterval is the time between two looks at the idle connections of a stopping server.
const idleCheckInterval = 20 * time.Millisecond

// New returns a server that serves a listener as h says. It sets the connection hook of h and wraps its handler.
func New(l net.Listener, h *http.Server, opts ...Option) *Server {
	s := &Server{listener: l, http: h, serve: h.Serve, active: make(map[net.Conn]struct{}), idle: make(map[net.Conn]struct{}), stopping: make(chan struct{}), closed: make(chan struct{})}
	h.ConnState = s.countConnection
	h.Handler = s.closeAfterAnswer(h.Handler)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetListener replaces the listener. It is called before Serve.
func (s *Server) SetListener(l net.Listener) { s.listener = l }

// Listener returns the listener.
func (s *Server) Listener() net.Listener { return s.listener }

// closeAfterAnswer wraps a handler so that the answers of a stopping server end their connections.
func (s *Server) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isStopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// countConnection counts a connection that has changed its state.
func (s *Server) countConnection(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	delete(s.active, conn)
	delete(s.idle, conn)
	switch state {
	case http.StateActive:
		s.active[conn] = struct{}{}
	case http.StateIdle:
		s.idle[conn] = struct{}{}
	default:
	}
	s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	default:
	}
}

// Serve serves until Close is called. It goes on after StopAccepting, for the open connections.
func (s *Server) Serve() error {
	err := s.serve(s.listener)
	if s.isStopping() {
		<-s.closed
		return http.ErrServerClosed
	}
	return err
}

// StopAccepting closes the listener, and from then on the connections that are idle. The others are closed after
// their next answer. It is called once.
func (s *Server) StopAccepting() error {
	close(s.stopping)
	go s.endIdle()
	return errors.Wrap(s.listener.Close(), "httpserver: closing a listener")
}

// endIdle ends the idle connections until the server is closed. One may become idle at any time: the head of its
// answer was written before the server stopped.
func (s *Server) endIdle() {
	check := time.NewTicker(idleCheckInterval)
	defer check.Stop()
	for {
		s.expireIdle()
		select {
		case <-s.closed:
			return
		case <-check.C:
		}
	}
}

// expireIdle ends the wait for the next request on each idle connection. If the request has been read, net/http
// sets a deadline of its own and goes on.
func (s *Server) expireIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.idle {
		// This fails only for a connection that is closed.
		_ = conn.SetReadDeadline(time.Now())
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int64 { return s.open.Load() }

// Answering returns the number of connections with a request whose answer is not written yet: net/http
// writes the last part of an answer after its handler has returned.
func (s *Server) Answering() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// Close closes all connections. Those with an answer that is not written are reset: a regular close would
// make the beginning of an HTTP/1.0 answer look complete. It is called once.
func (s *Server) Close() error {
	close(s.closed)
	s.resetUnanswered()
	return s.http.Close()
}

// Shutdown closes the connections as their answers end, and those that are left after a time. It tells HTTP/2
// clients which requests it has read. It is called once, instead of Close.
func (s *Server) Shutdown(timeout time.Duration) error {
	close(s.closed)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.http.Shutdown(ctx) == nil {
		return nil
	}
	s.resetUnanswered()
	return s.http.Close()
}

func (s *Server) resetUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.active {
		if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
			// This fails only for a connection that is closed.
			_ = tcp.SetLinger(0)
		}
	}
}
