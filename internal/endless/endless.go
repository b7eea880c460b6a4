// Package endless runs TCP servers for tests whose answers have no end: they send bytes, or hold
// the connection, until the caller closes it.
package endless

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Answer is an answer without an end.
type Answer struct {
	// Head is sent once, and Repeat again and again until the caller closes the connection. With an
	// empty Repeat nothing follows, and the connection stays open.
	Head   string
	Repeat string
	// Pause is the time between two repetitions; without one, they are sent as fast as they are read.
	Pause time.Duration
}

// Server gives an endless answer to each request, or to the first ones.
type Server struct {
	answer Answer
	// limited bounds the number of endless answers if it is set; then gives the answers after them.
	limited bool
	then    http.Handler
	// address is where the server listens; empty if it only serves as a handler.
	address string
	// stopped is closed at the end of the test, which also ends answers that no caller has closed.
	stopped  chan struct{}
	answers  sync.WaitGroup
	requests atomic.Int64
	begun    atomic.Int64
	closed   atomic.Int64
}

// Serve starts a server that gives the answer to each request. It is stopped at the end of the test.
func Serve(t testing.TB, answer Answer) *Server {
	t.Helper()
	s := &Server{answer: answer, stopped: make(chan struct{})}
	server := httptest.NewServer(s)
	s.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		s.stop()
		server.Close()
	})
	return s
}

// Handler returns a handler that gives the answer to the first count requests, and leaves later ones
// to another handler.
func Handler(t testing.TB, answer Answer, count int, then http.Handler) *Server {
	t.Helper()
	s := &Server{answer: answer, limited: true, then: then, stopped: make(chan struct{})}
	s.begun.Store(-int64(count))
	t.Cleanup(s.stop)
	return s
}

func (s *Server) stop() {
	close(s.stopped)
	s.answers.Wait()
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.address }

// Requests returns the number of requests that were given an endless answer.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Closed returns the number of endless answers that ended because the caller closed the connection.
func (s *Server) Closed() int { return int(s.closed.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.limited && s.begun.Add(1) > 0 {
		s.then.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	s.requests.Add(1)
	s.answers.Add(1)
	defer s.answers.Done()
	ended := make(chan struct{})
	go func() {
		select {
		case <-s.stopped:
		case <-ended:
		}
		_ = conn.Close()
	}()
	defer close(ended)
	s.write(conn)
	select {
	case <-s.stopped:
	default:
		s.closed.Add(1)
	}
}

// write writes the answer until the caller closes the connection.
func (s *Server) write(conn net.Conn) {
	if _, err := io.WriteString(conn, s.answer.Head); err != nil {
		return
	}
	if s.answer.Repeat == "" {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	s.repeat(conn)
}

// repeat writes the repeated part of an answer until the caller closes the connection.
func (s *Server) repeat(conn net.Conn) {
	const writeSize = 16 << 10
	text := s.answer.Repeat
	if s.answer.Pause == 0 && len(text) < writeSize {
		text = strings.Repeat(text, writeSize/len(text))
	}
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(s.answer.Pause):
		}
	}
}

// hangGuard ends a test whose caller never closes a connection, or never ends a call. Both take under
// 10 s if they end at all.
const hangGuard = 30 * time.Second

// Await calls a function and returns its result. It ends the test if the call does not return.
func Await[T any](t testing.TB, call func() T) T {
	t.Helper()
	results := make(chan T, 1)
	go func() { results <- call() }()
	select {
	case result := <-results:
		return result
	case <-time.After(hangGuard):
		t.Fatal("got no end of the call, want one although the answer has none")
		panic("unreachable")
	}
}

// AwaitClosed waits until the caller has closed the connections of count answers.
func (s *Server) AwaitClosed(t testing.TB, count int) {
	t.Helper()
	for start := time.Now(); s.Closed() < count; time.Sleep(time.Millisecond) {
		if time.Since(start) > hangGuard {
			t.Fatalf("got %d of %d connections closed by the caller, want all", s.Closed(), count)
		}
	}
}

// Meter counts the bytes that are read from each connection that it opens.
type Meter struct {
	most atomic.Int64
}

// Dialer returns a function that opens connections whose bytes the meter counts.
func (m *Meter) Dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

// Most returns the largest number of bytes that were read from one connection.
func (m *Meter) Most() int64 { return m.most.Load() }

type meteredConn struct {
	net.Conn
	meter *Meter
	read  atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	read := c.read.Add(int64(n))
	for most := c.meter.most.Load(); read > most && !c.meter.most.CompareAndSwap(most, read); most = c.meter.most.Load() {
	}
	return n, err
}
