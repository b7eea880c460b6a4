package relay

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
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
	upstream fleet.Incarnation
	pool     *upstreamPool
	gate     *gate
	kind     catalog.Kind
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
		protocol: plainProtocol{}, barred: func() bool { return ta.pool.barred(ta.pool.get(ta.upstream)) }, said: func(fleet.Incarnation, Word) {}, unlimited: func(fleet.Incarnation, clock.Millis) {}, answeredBy: func(fleet.Incarnation, string, fleet.Presence) {}, conns: ta.pool.get(ta.upstream), gate: ta.gate, cancel: cancel,
		cmd:    dispatch.SendCmd{Route: &catalog.Route{Kind: ta.kind}, RequiresKey: true, Config: catalog.New(1).Edition()},
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
			ta := testAttempt{upstream: fleet.IncarnationByID("u1"), pool: pool, gate: newGate(clocktest.NewClock(), 0), kind: catalog.AtMostOnce}

			if first := ta.run(t, method, address); first.failed {
				t.Fatalf("got %v at the first request, want an answer", first.err)
			}
			second := ta.run(t, method, address)
			if got, want := u.read.Load(), int64(2); got != want {
				t.Errorf("got %d requests read, want %d", got, want)
			}
			if !second.failed || second.cause != dispatch.CauseUnknown {
				t.Errorf("got failed=%v cause=%v, want an unknown outcome", second.failed, second.cause)
			}
		})
	}
}

// The configuration may get too old while the connection is made.
func TestAttemptStopsAtTheGate(t *testing.T) {
	u := newFickleUpstream(t)
	g := newGate(clocktest.NewClock(), 5000)
	g.confirm(catalog.New(1).Edition(), 0)
	pool := newUpstreamPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		g.mu.Lock()
		g.confirmed = -10_000
		g.mu.Unlock()
		return conn, err
	}, clocktest.NewClock())
	t.Cleanup(pool.closeIdle)

	got := testAttempt{upstream: fleet.IncarnationByID("u1"), pool: pool, gate: g, kind: catalog.Repeatable}.run(t, http.MethodPost, u.listener.Addr().String())
	if !got.failed || got.cause != dispatch.CauseStaleConfig {
		t.Errorf("got failed=%v cause=%v, want it held back", got.failed, got.cause)
	}
	if got, want := u.read.Load(), int64(0); got != want {
		t.Errorf("got %d requests read, want %d", got, want)
	}
}

// A request waits for its connection while the upstream turns another one away and asks for
// rest, or says that it is leaving. It is not written, and decided anew.
func TestAttemptIsHeldBackFromWhoRestsOrLeaves(t *testing.T) {
	for _, word := range []Word{{Rest: 3000}, {Leaving: true}} {
		u, id := newFickleUpstream(t), fleet.IncarnationByID("u1")
		var pool *upstreamPool
		pool = newUpstreamPool(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			pool.bar(id, word)
			return conn, err
		}, clocktest.NewClock())
		t.Cleanup(pool.closeIdle)
		got := testAttempt{upstream: id, pool: pool, gate: newGate(clocktest.NewClock(), 0), kind: catalog.Repeatable}.run(t, http.MethodPost, u.listener.Addr().String())
		if !got.failed || got.cause != dispatch.CauseStaleConfig {
			t.Errorf("%+v: got failed=%v cause=%v, want it held back", word, got.failed, got.cause)
		}
		if got, want := u.read.Load(), int64(0); got != want {
			t.Errorf("%+v: got %d requests read, want %d", word, got, want)
		}
	}
}

// A shorter rest takes nothing off a longer one, another incarnation at the address has asked
// for none, and a rest goes on while the VM is suspended.
func TestLongestRestCounts(t *testing.T) {
	vm := clocktest.NewVM()
	pool, id := newUpstreamPool((&net.Dialer{}).DialContext, clock.New(clock.WithVM(vm))), fleet.IncarnationByID("u1")
	pool.bar(id, Word{Rest: 3_600_000})
	pool.bar(id, Word{Rest: 10})
	vm.Suspend(time.Hour / 2)
	if !pool.barred(pool.get(id)) {
		t.Error("got no rest after half an hour, want one of an hour")
	}
	if pool.barred(pool.get(fleet.IncarnationByID("u2"))) {
		t.Error("got a rest of an upstream that has asked for none")
	}
	vm.Suspend(time.Hour / 2)
	if pool.barred(pool.get(id)) {
		t.Error("got a rest after an hour, want none")
	}
}

// An answer speaks for who has given it, and a refusal also for the engine of the chain that
// it names. In a late answer to another request only the leaving is still so.
func TestWhoseWordItIs(t *testing.T) {
	first, second := fleet.IncarnationByID("e1"), fleet.IncarnationByID("e2")
	parts := []chain.Stage{{ID: first, Address: "a1"}, {ID: second, Address: "a2"}}
	rest := Word{Rest: 3000}
	tests := []struct {
		name string
		head AnswerHead
		want map[fleet.Incarnation]Word
	}{
		{"its own", AnswerHead{Word: rest}, map[fleet.Incarnation]Word{first: rest}},
		{"its own, named", AnswerHead{Word: rest, At: "a1"}, map[fleet.Incarnation]Word{first: rest}},
		{"of one further on", AnswerHead{Word: rest, At: "a2"}, map[fleet.Incarnation]Word{first: rest, second: rest}},
		{"of one that is not on the way", AnswerHead{Word: rest, At: "a3"}, map[fleet.Incarnation]Word{first: rest}},
		{"leaving", AnswerHead{Word: Word{Leaving: true}, At: "a2"}, map[fleet.Incarnation]Word{first: {Leaving: true}}},
		{"late", AnswerHead{ID: "another", Word: Word{Rest: 3000, Leaving: true}}, map[fleet.Incarnation]Word{first: {Leaving: true}}},
		{"late, and a rest alone", AnswerHead{ID: "another", Word: rest}, map[fleet.Incarnation]Word{}},
		{"nothing", AnswerHead{At: "a2"}, map[fleet.Incarnation]Word{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := make(map[fleet.Incarnation]Word)
			a := &attempt{
				callerID: "try", cmd: dispatch.SendCmd{Upstream: first, Chain: parts},
				said:      func(id fleet.Incarnation, w Word) { got[id] = w },
				unlimited: func(fleet.Incarnation, clock.Millis) {},
			}
			a.hear(tt.head)
			if !maps.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
