package overload

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

// countingListener counts the reads of its connections.
type countingListener struct {
	net.Listener
	reads *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, reads: l.reads}, err
}

type countingConn struct {
	net.Conn
	reads *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (int, error) {
	c.reads.Add(1)
	return c.Conn.Read(data)
}

// newLateListener returns a listener of a node that runs late, and the number of reads of its connections.
func newLateListener(t *testing.T) (l *Listener, reads *atomic.Int64) {
	t.Helper()
	base, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	vm := clocktest.NewVM()
	m := NewMonitor(clock.New(clock.WithVM(vm)), zap.NewNop(), 0.2)
	for range 20 {
		vm.Suspend(Interval.Duration())
		m.record(100)
	}
	reads = new(atomic.Int64)
	return NewListener(countingListener{Listener: base, reads: reads}, m), reads
}

// sendRequest sends a request on a connection of its own and returns the status of the answer.
func sendRequest(t *testing.T, address string) (status int, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, err
	}
	if resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("got header %v, want a Retry-After and a connection that closes", resp.Header)
	}
	return resp.StatusCode, nil
}

// Guards against a node that reads whatever connects although it runs late: those requests are served
// late or never, while one that is refused unread lets its client try another node. The client must be
// told that its request was not executed: a connection that closes without an answer tells it nothing.
func TestLateNodeRefusesConnectionsUnread(t *testing.T) {
	const connections = 40
	l, reads := newLateListener(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = l.Run(ctx) }()
	taken := make(chan int)
	go func() {
		n := 0
		for {
			conn, err := l.Accept()
			if err != nil {
				taken <- n
				return
			}
			n++
			// What the node takes is answered in another way here, to tell it from a refusal.
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRetry-After: 0\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	refused := 0
	for range connections {
		status, err := sendRequest(t, l.Addr().String())
		if err != nil {
			t.Errorf("got error %v, want an answer", err)
		}
		if status == http.StatusServiceUnavailable {
			refused++
		}
	}
	_ = l.Close()
	got := <-taken
	if got == 0 || got > connections/4 {
		t.Errorf("got %d of %d connections taken at once by a node that runs late, want some and at most a quarter", got, connections)
	}
	if refused+got != connections {
		t.Errorf("got %d refused and %d taken of %d connections, want all", refused, got, connections)
	}
	if n := reads.Load(); n > 0 {
		t.Errorf("got %d reads of connections that are refused, want none", n)
	}
}

// Guards against refused connections that are held open without a bound, which takes a node's descriptors.
func TestRefusedConnectionsAreBounded(t *testing.T) {
	l, _ := newLateListener(t)
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	const more = 256
	for range maxRefused + more {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		// The answer or the end of the connection shows that it was accepted and not taken.
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, _ = conn.Read(make([]byte, 1))
	}
	_ = l.Close()
	if got := l.refused.Len(); got != maxRefused {
		t.Errorf("got %d refused connections that are open, want %d", got, maxRefused)
	}
}
