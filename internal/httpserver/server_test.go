package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// pausingListener accepts connections that pause, once armed, between reading bytes and returning them.
type pausingListener struct {
	net.Listener
	armed atomic.Bool
	// read is closed when armed bytes have been read, which are returned when goOn is closed.
	read, goOn chan struct{}
}

// Accept implements net.Listener.
func (l *pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &pausingConn{Conn: conn, listener: l}, err
}

type pausingConn struct {
	net.Conn
	listener *pausingListener
}

// Read implements net.Conn.
func (c *pausingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && c.listener.armed.CompareAndSwap(true, false) {
		close(c.listener.read)
		<-c.listener.goOn
	}
	return n, err
}

// Guards against a server that closes a connection as idle whose request it has just read: the request is served,
// and its client gets neither an answer nor a refusal.
func TestStoppingServerAnswersRequestOnIdleConnection(t *testing.T) {
	base, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &pausingListener{Listener: base, read: make(chan struct{}), goOn: make(chan struct{})}
	s, conn, answers := serveIdle(t, l)
	l.armed.Store(true)
	closes := exchange(t, conn, answers, func() {
		<-l.read
		if err := s.StopAccepting(); err != nil {
			t.Error(err)
		}
		close(l.goOn)
	})
	if !closes {
		t.Error("got an answer that keeps the connection, want one that closes it")
	}
}

// serveIdle starts a server on a listener and returns it with a connection that has had one answer. The server
// is closed at the end of the test.
func serveIdle(t *testing.T, l net.Listener) (s *Server, conn net.Conn, answers *bufio.Reader) {
	t.Helper()
	s = New(l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), ReadHeaderTimeout: time.Minute})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("got error %v, want %v", err, http.ErrServerClosed)
		}
	})
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	answers = bufio.NewReader(conn)
	exchange(t, conn, answers, func() {})
	return s, conn, answers
}

// exchange sends a request and reads the answer, and reports whether that ends the connection. The function
// is called between the two.
func exchange(t *testing.T, conn net.Conn, answers *bufio.Reader, between func()) (closes bool) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	between()
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatalf("got error %v, want an answer", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
		t.Fatalf("got %q and error %v, want the answer", body, err)
	}
	return resp.Close
}

// Guards against a stopping server that keeps connections without a request open until it is closed.
func TestStoppingServerClosesIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, _, answers := serveIdle(t, l)
	if err := s.StopAccepting(); err != nil {
		t.Error(err)
	}
	if _, err := answers.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want the end of the connection", err)
	}
}
