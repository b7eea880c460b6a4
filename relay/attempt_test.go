package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// plainProtocol is a protocol in which every answer is sealed and names no
// request.
type plainProtocol struct{}

func (plainProtocol) CallerHead(http.Header) CallerHead      { return CallerHead{} }
func (plainProtocol) SetAttempt(http.Header, AttemptHead)    {}
func (plainProtocol) AnswerHead(int, http.Header) AnswerHead { return AnswerHead{Sealed: true} }

// fickleUpstream answers the first request of each connection, reads the second
// one, and closes the connection without an answer to it.
type fickleUpstream struct {
	listener net.Listener
	read     atomic.Int64
}

func newFickleUpstream(t *testing.T) *fickleUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &fickleUpstream{listener: listener}
	go u.accept()
	return u
}

func (u *fickleUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

func (u *fickleUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	if _, err := http.ReadRequest(requests); err != nil {
		return
	}
	u.read.Add(1)
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
		return
	}
	if _, err := http.ReadRequest(requests); err == nil {
		u.read.Add(1)
	}
}

// testAttempt is an attempt of one request, with its outcome.
type testAttempt struct {
	pool *upstreamPool
	gate *gate
	kind catalog.Kind
}

func (ta testAttempt) run(t *testing.T, method, address string) piece {
	t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(context.Canceled)
	caller, err := http.NewRequest(method, "http://h/x", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	a := &attempt{
		protocol: plainProtocol{}, conns: ta.pool.get(fleet.Undated("u1")), gate: ta.gate, cancel: cancel,
		cmd:    dispatch.SendCmd{Route: &catalog.Route{Kind: ta.kind}, Keyed: true, CatalogVersion: 1},
		pieces: make(chan piece, piecesWaiting),
	}
	a.req = outgoing(ctx, caller, address, nil)
	a.run(ctx)
	return <-a.pieces
}

// A request that may run only once must not be sent again by net/http, which
// repeats a GET without a body when a kept connection breaks.
func TestAttemptIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			u := newFickleUpstream(t)
			address := u.listener.Addr().String()
			pool := newUpstreamPool((&net.Dialer{}).DialContext, clocktest.NewClock())
			t.Cleanup(pool.closeIdle)
			ta := testAttempt{pool: pool, gate: newGate(clocktest.NewClock(), 0), kind: catalog.Once}

			if first := ta.run(t, method, address); first.failed {
				t.Fatalf("got %v at the first request, want an answer", first.err)
			}
			second := ta.run(t, method, address)
			if got, want := u.read.Load(), int64(2); got != want {
				t.Errorf("got %d requests read, want %d", got, want)
			}
			if !second.failed || second.cause != dispatch.Unknown {
				t.Errorf("got failed=%v cause=%v, want an unknown outcome", second.failed, second.cause)
			}
		})
	}
}

// The configuration may get too old while the connection is made.
func TestAttemptStopsAtTheGate(t *testing.T) {
	u := newFickleUpstream(t)
	g := newGate(clocktest.NewClock(), 5000)
	g.confirm(1, 0)
	pool := newUpstreamPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		g.mu.Lock()
		g.confirmed = -10_000
		g.mu.Unlock()
		return conn, err
	}, clocktest.NewClock())
	t.Cleanup(pool.closeIdle)

	got := testAttempt{pool: pool, gate: g, kind: catalog.Repeatable}.run(t, http.MethodPost, u.listener.Addr().String())
	if !got.failed || got.cause != dispatch.HeldBack {
		t.Errorf("got failed=%v cause=%v, want it held back", got.failed, got.cause)
	}
	if got, want := u.read.Load(), int64(0); got != want {
		t.Errorf("got %d requests read, want %d", got, want)
	}
}
