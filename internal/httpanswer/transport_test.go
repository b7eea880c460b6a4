package httpanswer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// serveAnswers accepts connections and gives the same answers to the requests on each. It returns its address,
// and the number of requests so far.
func serveAnswers(t *testing.T, answers ...string) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn, answers, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func answerAll(conn net.Conn, answers []string, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		// The client may have closed the connection already.
		_, _ = io.WriteString(conn, answer)
	}
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against a broken head on a connection that is used again: net/http sends a GET again if such a connection
// fails before the answer.
func TestBrokenHeadOnReusedConnection(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, broken := range []string{"HTTP/1.1 000 OK\r\n\r\n", "000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX A: v\r\n\r\n"} {
		address, requests := serveAnswers(t, sound, broken)
		transport := NewTransport(&http.Transport{})
		defer transport.CloseIdleConnections()
		if got, err := get(transport, address); err != nil || got != "ok" {
			t.Fatalf("got %q and error %v, want the body", got, err)
		}
		if got, err := get(transport, address); !errors.Is(err, ErrBrokenHead) {
			t.Errorf("%q: got %q and error %v, want %v", broken, got, err, ErrBrokenHead)
		}
		if got := requests.Load(); got != 2 {
			t.Errorf("%q: got %d requests sent, want 2", broken, got)
		}
	}
}

// Guards against a check that takes the second answer on a connection for the body of the first, and against one
// that takes the body for a head.
func TestAnswersOnReusedConnection(t *testing.T) {
	const body = "HTTP/1.1 000\r\nX A: v\r\n\r\n"
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + body
	address, requests := serveAnswers(t, answer, answer, answer)
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	for range 3 {
		if got, err := get(transport, address); err != nil || got != body {
			t.Errorf("got %q and error %v, want %q", got, err, body)
		}
	}
	if got := requests.Load(); got != 3 {
		t.Errorf("got %d requests sent, want 3", got)
	}
}

// Guards against an answer that switches to another protocol, which keeps the connection.
func TestSwitchedProtocolIsNoAnswer(t *testing.T) {
	address, _ := serveAnswers(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
	transport := NewTransport(&http.Transport{})
	if got, err := get(transport, address); !errors.Is(err, ErrProtocolSwitched) {
		t.Errorf("got %q and error %v, want %v", got, err, ErrProtocolSwitched)
	}
}

func get(transport http.RoundTripper, address string) (string, error) {
	return call(context.Background(), transport, http.MethodGet, "http://"+address, http.NoBody)
}
