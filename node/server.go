package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// readHeaderTimeout bounds the time for reading a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an idle client connection is kept. It must exceed the idle time
	// that the operator configures, after which clients do not use a connection again.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's header; the operator allows 16 KB.
	maxHeaderBytes = 32 << 10
)

// server is an HTTP server that answers every request which it has read, also while it stops.
// http.Server.Shutdown closes the connections on which it reads a request afterwards.
type server struct {
	http     *http.Server
	listener net.Listener
	// open counts the connections.
	open atomic.Int64
	mu   sync.Mutex
	// active contains the connections with a request whose answer is not written yet.
	active map[net.Conn]struct{}
	// stopping is closed when the server stops accepting connections, and closed by close.
	stopping, closed chan struct{}
}

func newServer(l net.Listener, h http.Handler, log *zap.Logger) *server {
	s := &server{listener: l, active: make(map[net.Conn]struct{}), stopping: make(chan struct{}), closed: make(chan struct{})}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(log), ConnState: s.countConnection,
	}
	return s
}

// countConnection counts a connection that has changed its state.
func (s *server) countConnection(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	if state == http.StateActive {
		s.active[conn] = struct{}{}
	} else {
		delete(s.active, conn)
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

// serve serves until close is called. It goes on after stopAccepting, for the open connections.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	select {
	case <-s.stopping:
		<-s.closed
		return http.ErrServerClosed
	default:
		return err
	}
}

// stopAccepting closes the listener and the idle connections. The others are closed after their next
// answer.
func (s *server) stopAccepting() error {
	close(s.stopping)
	s.http.SetKeepAlivesEnabled(false)
	return errors.Wrap(s.listener.Close(), "node: closing a listener")
}

// connections returns the number of open connections.
func (s *server) connections() int64 { return s.open.Load() }

// answering returns the number of connections with a request whose answer is not written yet: net/http
// writes the last part of an answer after its handler has returned.
func (s *server) answering() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// close closes all connections. Those with an answer that is not written are reset: a regular close would
// make the beginning of an HTTP/1.0 answer look complete. It is called once.
func (s *server) close() error {
	close(s.closed)
	s.mu.Lock()
	for conn := range s.active {
		if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
			// This fails only for a connection that is closed.
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	return s.http.Close()
}
