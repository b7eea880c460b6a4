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

// oneAnswerUpstream answers the first request of each connection, reads the second
// one, and closes the connection without an answer to it.
type oneAnswerUpstream struct {
	listener     net.Listener
	requestsRead atomic.Int64
}

func newOneAnswerUpstream(t *testing.T) *oneAnswerUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &oneAnswerUpstream{listener: listener}
	go u.accept()
	return u
}

func (u *oneAnswerUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

func (u *oneAnswerUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	if _, err := http.ReadRequest(requests); err != nil {
		return
	}
	u.requestsRead.Add(1)
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
		return
	}
	if _, err := http.ReadRequest(requests); err == nil {
		u.requestsRead.Add(1)
	}
}

// testAttempt is an attempt of one request, with its outcome.
type testAttempt struct {
	upstream fleet.Incarnation
	pool     *upstreamPool
	gate     *configGate
	kind     catalog.Kind
}

func (ta testAttempt) run(t *testing.T, method, address string) attemptUpdate {
	t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(context.Canceled)
	caller, err := http.NewRequest(method, "http://h/x", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	a := &attempt{
		protocol: plainProtocol{}, blocked: func() bool { return ta.pool.blocked(ta.pool.get(ta.upstream)) }, handleStatus: func(fleet.Incarnation, UpstreamStatus) {}, handleNoLimit: func(fleet.Incarnation, clock.Millis) {}, handlePresence: func(fleet.Incarnation, string, fleet.Presence) {}, conns: ta.pool.get(ta.upstream), gate: ta.gate, cancel: cancel,
		cmd:     dispatch.SendCmd{Route: &catalog.Route{Kind: ta.kind}, RequiresKey: true, Config: catalog.New(1).Edition()},
		updates: make(chan attemptUpdate, maxQueuedUpdates),
	}
	a.req = outgoing(ctx, caller, address, nil)
	a.run(ctx)
	return <-a.updates
}

// A request that may run only once must not be sent again by net/http, which
// repeats a GET without a body when a kept connection breaks.
func TestAttemptIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			u := newOneAnswerUpstream(t)
			address := u.listener.Addr().String()
			pool := newUpstreamPool((&net.Dialer{}).DialContext, clocktest.NewClock())
			t.Cleanup(pool.closeIdle)
			ta := testAttempt{upstream: fleet.IncarnationByID("u1"), pool: pool, gate: newConfigGate(clocktest.NewClock(), 0), kind: catalog.AtMostOnce}

			if first := ta.run(t, method, address); first.failed {
				t.Fatalf("got %v at the first request, want an answer", first.err)
			}
			second := ta.run(t, method, address)
			if got, want := u.requestsRead.Load(), int64(2); got != want {
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
	u := newOneAnswerUpstream(t)
	g := newConfigGate(clocktest.NewClock(), 5000)
	g.confirm(catalog.New(1).Edition(), 0)
	pool := newUpstreamPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		g.mu.Lock()
		g.confirmedAt = -10_000
		g.mu.Unlock()
		return conn, err
	}, clocktest.NewClock())
	t.Cleanup(pool.closeIdle)

	got := testAttempt{upstream: fleet.IncarnationByID("u1"), pool: pool, gate: g, kind: catalog.Repeatable}.run(t, http.MethodPost, u.listener.Addr().String())
	if !got.failed || got.cause != dispatch.CauseStaleConfig {
		t.Errorf("got failed=%v cause=%v, want it held back", got.failed, got.cause)
	}
	if got, want := u.requestsRead.Load(), int64(0); got != want {
		t.Errorf("got %d requests read, want %d", got, want)
	}
}

// A request waits for its connection while the upstream turns another one away and asks for
// rest, or says that it is leaving. It is not written, and decided anew.
func TestAttemptIsHeldBackFromWhoRestsOrLeaves(t *testing.T) {
	for _, word := range []UpstreamStatus{{BackOff: 3000}, {Leaving: true}} {
		u, id := newOneAnswerUpstream(t), fleet.IncarnationByID("u1")
		var pool *upstreamPool
		pool = newUpstreamPool(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			pool.block(id, word)
			return conn, err
		}, clocktest.NewClock())
		t.Cleanup(pool.closeIdle)
		got := testAttempt{upstream: id, pool: pool, gate: newConfigGate(clocktest.NewClock(), 0), kind: catalog.Repeatable}.run(t, http.MethodPost, u.listener.Addr().String())
		if !got.failed || got.cause != dispatch.CauseStaleConfig {
			t.Errorf("%+v: got failed=%v cause=%v, want it held back", word, got.failed, got.cause)
		}
		if got, want := u.requestsRead.Load(), int64(0); got != want {
			t.Errorf("%+v: got %d requests read, want %d", word, got, want)
		}
	}
}

// A shorter rest takes nothing off a longer one, another incarnation at the address has asked
// for none, and a rest goes on while the VM is suspended.
func TestLongestRestCounts(t *testing.T) {
	vm := clocktest.NewVM()
	pool, id := newUpstreamPool((&net.Dialer{}).DialContext, clock.New(clock.WithVM(vm))), fleet.IncarnationByID("u1")
	pool.block(id, UpstreamStatus{BackOff: 3_600_000})
	pool.block(id, UpstreamStatus{BackOff: 10})
	vm.Suspend(time.Hour / 2)
	if !pool.blocked(pool.get(id)) {
		t.Error("got no rest after half an hour, want one of an hour")
	}
	if pool.blocked(pool.get(fleet.IncarnationByID("u2"))) {
		t.Error("got a rest of an upstream that has asked for none")
	}
	vm.Suspend(time.Hour / 2)
	if pool.blocked(pool.get(id)) {
		t.Error("got a rest after an hour, want none")
	}
}

// An answer speaks for who has given it, and a refusal also for the engine of the chain that
// it names. In a late answer to another request only the leaving is still so.
func TestWhoseWordItIs(t *testing.T) {
	first, second := fleet.IncarnationByID("e1"), fleet.IncarnationByID("e2")
	parts := []chain.Stage{{ID: first, Address: "a1"}, {ID: second, Address: "a2"}}
	rest := UpstreamStatus{BackOff: 3000}
	tests := []struct {
		name string
		head AnswerHead
		want map[fleet.Incarnation]UpstreamStatus
	}{
		{"its own", AnswerHead{UpstreamStatus: rest}, map[fleet.Incarnation]UpstreamStatus{first: rest}},
		{"its own, named", AnswerHead{UpstreamStatus: rest, At: "a1"}, map[fleet.Incarnation]UpstreamStatus{first: rest}},
		{"of one further on", AnswerHead{UpstreamStatus: rest, At: "a2"}, map[fleet.Incarnation]UpstreamStatus{first: rest, second: rest}},
		{"of one that is not on the way", AnswerHead{UpstreamStatus: rest, At: "a3"}, map[fleet.Incarnation]UpstreamStatus{first: rest}},
		{"leaving", AnswerHead{UpstreamStatus: UpstreamStatus{Leaving: true}, At: "a2"}, map[fleet.Incarnation]UpstreamStatus{first: {Leaving: true}}},
		{"late", AnswerHead{ID: "another", UpstreamStatus: UpstreamStatus{BackOff: 3000, Leaving: true}}, map[fleet.Incarnation]UpstreamStatus{first: {Leaving: true}}},
		{"late, and a rest alone", AnswerHead{ID: "another", UpstreamStatus: rest}, map[fleet.Incarnation]UpstreamStatus{}},
		{"nothing", AnswerHead{At: "a2"}, map[fleet.Incarnation]UpstreamStatus{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := make(map[fleet.Incarnation]UpstreamStatus)
			a := &attempt{
				callerID: "try", cmd: dispatch.SendCmd{Upstream: first, Chain: parts},
				handleStatus:  func(id fleet.Incarnation, w UpstreamStatus) { got[id] = w },
				handleNoLimit: func(fleet.Incarnation, clock.Millis) {},
			}
			a.recordStatus(tt.head)
			if !maps.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
