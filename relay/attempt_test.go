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
	"github.com/hoistjunction/hoistjunction/internal/contain"
)

// plainProtocol is a protocol in which every answer is sealed and carries no attempt id.
type plainProtocol struct{}

func (plainProtocol) CallerHead(http.Header) CallerHead     { return CallerHead{} }
func (plainProtocol) SetForwarded(http.Header, ForwardHead) {}

func (plainProtocol) SetAttempt(http.Header, AttemptHead)    {}
func (plainProtocol) AnswerHead(int, http.Header) AnswerHead { return AnswerHead{Sealed: true} }

// oneAnswerUpstream answers the first request of each connection, reads the second one, and
// closes the connection without answering it.
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

// testAttempt sends one request to an upstream.
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
		protocol: plainProtocol{}, blocked: func() bool { return ta.pool.blocked(ta.pool.get(ta.upstream)) }, handleStatus: func(fleet.Incarnation, UpstreamStatus) {}, handleNoLimit: func(fleet.Incarnation, clock.Millis) {}, handlePresence: func(fleet.Incarnation, string, fleet.Presence) {}, conns: ta.pool.get(ta.upstream), gate: ta.gate, cancel: cancel, contain: contain.Direct,
		cmd:     dispatch.SendCmd{Route: &catalog.Route{Kind: ta.kind}, RequiresKey: true, Config: catalog.New(1).Edition()},
		updates: make(chan attemptUpdate, maxQueuedUpdates),
	}
	a.req = outgoing(ctx, caller, address, nil)
	a.run(ctx)
	return <-a.updates
}

// net/http resends a GET without a body when a pooled connection breaks. A request that may be
// executed only once must not be sent again.
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
				t.Errorf("got failed=%v cause=%v, want a failure with cause unknown", second.failed, second.cause)
			}
		})
	}
}

// The configuration may become stale while the connection is being made.
func TestAttemptIsNotWrittenWithStaleConfig(t *testing.T) {
	u := newOneAnswerUpstream(t)
	g := newConfigGate(clocktest.NewClock(), 5000)
	g.confirm(catalog.New(1), 0)
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
		t.Errorf("got failed=%v cause=%v, want a failure with cause held_back", got.failed, got.cause)
	}
	if got, want := u.requestsRead.Load(), int64(0); got != want {
		t.Errorf("got %d requests read, want %d", got, want)
	}
}

// While a request waits for its connection, the upstream rejects another one and requests a
// back-off, or reports that it is leaving. The waiting request must not be written, but decided
// again.
func TestAttemptIsNotWrittenDuringBackOffOrLeaving(t *testing.T) {
	for _, status := range []UpstreamStatus{{BackOff: 3000}, {Leaving: true}} {
		u, id := newOneAnswerUpstream(t), fleet.IncarnationByID("u1")
		var pool *upstreamPool
		pool = newUpstreamPool(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			pool.block(id, status)
			return conn, err
		}, clocktest.NewClock())
		t.Cleanup(pool.closeIdle)
		got := testAttempt{upstream: id, pool: pool, gate: newConfigGate(clocktest.NewClock(), 0), kind: catalog.Repeatable}.run(t, http.MethodPost, u.listener.Addr().String())
		if !got.failed || got.cause != dispatch.CauseStaleConfig {
			t.Errorf("%+v: got failed=%v cause=%v, want a failure with cause held_back", status, got.failed, got.cause)
		}
		if got, want := u.requestsRead.Load(), int64(0); got != want {
			t.Errorf("%+v: got %d requests read, want %d", status, got, want)
		}
	}
}

// A shorter back-off does not shorten a longer one, it does not apply to another incarnation at
// the address, and its time passes while the VM is suspended.
func TestLongestBackOffApplies(t *testing.T) {
	vm := clocktest.NewVM()
	pool, id := newUpstreamPool((&net.Dialer{}).DialContext, clock.New(clock.WithVM(vm))), fleet.IncarnationByID("u1")
	pool.block(id, UpstreamStatus{BackOff: 3_600_000})
	pool.block(id, UpstreamStatus{BackOff: 10})
	vm.Suspend(time.Hour / 2)
	if !pool.blocked(pool.get(id)) {
		t.Error("got no back-off after half an hour, want one of an hour")
	}
	if pool.blocked(pool.get(fleet.IncarnationByID("u2"))) {
		t.Error("got a back-off of an upstream that requested none, want none")
	}
	vm.Suspend(time.Hour/2 + time.Millisecond)
	if pool.blocked(pool.get(id)) {
		t.Error("got a back-off after an hour and a millisecond, want none")
	}
}

// A status applies to the upstream that answered, and in a refusal also to the engine of the
// chain that the refusal names. In a late answer to another request only the leaving flag
// applies.
func TestStatusIsRecordedForItsUpstream(t *testing.T) {
	first, second := fleet.IncarnationByID("e1"), fleet.IncarnationByID("e2")
	parts := []chain.Stage{{ID: first, Address: "a1"}, {ID: second, Address: "a2"}}
	backOff := UpstreamStatus{BackOff: 3000}
	tests := []struct {
		name string
		head AnswerHead
		want map[fleet.Incarnation]UpstreamStatus
	}{
		{"own status", AnswerHead{UpstreamStatus: backOff}, map[fleet.Incarnation]UpstreamStatus{first: backOff}},
		{"own status with own address", AnswerHead{UpstreamStatus: backOff, At: "a1"}, map[fleet.Incarnation]UpstreamStatus{first: backOff}},
		{"refusal by a later engine", AnswerHead{UpstreamStatus: backOff, At: "a2"}, map[fleet.Incarnation]UpstreamStatus{first: backOff, second: backOff}},
		{"address outside the chain", AnswerHead{UpstreamStatus: backOff, At: "a3"}, map[fleet.Incarnation]UpstreamStatus{first: backOff}},
		{"leaving", AnswerHead{UpstreamStatus: UpstreamStatus{Leaving: true}, At: "a2"}, map[fleet.Incarnation]UpstreamStatus{first: {Leaving: true}}},
		{"late", AnswerHead{ID: "another", UpstreamStatus: UpstreamStatus{BackOff: 3000, Leaving: true}}, map[fleet.Incarnation]UpstreamStatus{first: {Leaving: true}}},
		{"late, back-off only", AnswerHead{ID: "another", UpstreamStatus: backOff}, map[fleet.Incarnation]UpstreamStatus{}},
		{"no status", AnswerHead{At: "a2"}, map[fleet.Incarnation]UpstreamStatus{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := make(map[fleet.Incarnation]UpstreamStatus)
			a := &attempt{
				callerID: "try", cmd: dispatch.SendCmd{Upstream: first, Chain: parts},
				handleStatus:  func(id fleet.Incarnation, status UpstreamStatus) { got[id] = status },
				handleNoLimit: func(fleet.Incarnation, clock.Millis) {},
			}
			a.recordStatus(tt.head)
			if !maps.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
