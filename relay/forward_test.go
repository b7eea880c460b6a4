package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwarding"
	"github.com/hoistjunction/hoistjunction/forwardwire"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/moment"
)

// newCutRelay runs a relay that reaches no upstream, in front of nodes that share a handler. It
// returns the address for callers.
func newCutRelay(t *testing.T, nodes ...http.Handler) string {
	t.Helper()
	return newDialingCutRelay(t, testCatalog(), zap.NewNop(), (&net.Dialer{}).DialContext, nodes...)
}

// newDialingCutRelay is newCutRelay with a catalog, a log and a function that connects to the nodes.
func newDialingCutRelay(t *testing.T, c *catalog.Catalog, log *zap.Logger, dial dialFunc, nodes ...http.Handler) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	model := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetryShare: 1, RetrySlack: 1e9}))
	r := New(ctx, sealedProtocol{}, model, clocktest.NewClock(), log,
		WithDialer(func(context.Context, string, string) (net.Conn, error) { return nil, errAttemptAbandoned }),
		WithEngines(unresponsiveEngines{}), WithForwarding("cut", dial))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	r.SetCatalog(c, r.clock.Now())
	msg := dispatch.PeersMsg{TotalNodes: 1 + len(nodes), Members: []limit.Member{{}}}
	for i, node := range nodes {
		server := httptest.NewServer(node)
		t.Cleanup(server.Close)
		msg.ForwardTargets = append(msg.ForwardTargets, forwarding.Node{Name: "n" + strconv.Itoa(i), Address: server.Listener.Addr().String()})
	}
	r.SetPeers(msg)
	r.UpdateFleet([]fleet.Change{{ID: fleet.IncarnationByID("lost"), Upstream: fleet.Upstream{ID: fleet.IncarnationByID("lost"), Service: "desk", Address: "127.0.0.1:1"}}})
	front := httptest.NewServer(r)
	t.Cleanup(front.Close)
	return front.Listener.Addr().String()
}

// newServingNode runs a relay in front of upstreams and returns its handler of forwarded requests.
func newServingNode(t *testing.T, upstreams http.Handler) http.Handler {
	t.Helper()
	r, _ := newTestRelay(t, upstreams)
	return http.HandlerFunc(r.ServeForwarded)
}

// reply is what a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// newRequest returns a request to a node.
func newRequest(t *testing.T, address, path string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	return req
}

// ask sends a request to a node.
func ask(t *testing.T, address, path string) reply {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(newRequest(t, address, path))
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// Guards against an answer that another node changes, and against headers between nodes that reach
// callers.
func TestForwardedAnswersAreWhole(t *testing.T) {
	tests := []struct {
		path   string
		script []outcome
		status int
		body   string
	}{
		{"/write/a", []outcome{wholeStream}, http.StatusOK, eventsText(0, lastStreamEvent)},
		{"/write/b", []outcome{brokenStream, partialEvent, wholeStream}, http.StatusOK, eventsText(0, lastStreamEvent)},
		{"/read/a", []outcome{plainTextAnswer}, http.StatusOK, wholeBody(plainTextAnswer, 1)},
		{"/read/b", []outcome{largeAnswer}, http.StatusOK, wholeBody(largeAnswer, 1)},
		{"/read/c", []outcome{notExecuted, plainTextAnswer}, http.StatusOK, wholeBody(plainTextAnswer, 2)},
		{"/once/a", []outcome{failure}, http.StatusInternalServerError, wholeBody(failure, 1)},
		{"/once/b", []outcome{notFound}, http.StatusNotFound, wholeBody(notFound, 1)},
	}
	for _, tt := range tests {
		upstreams := &scriptedUpstreams{script: tt.script}
		address := newCutRelay(t, newServingNode(t, upstreams))
		got := ask(t, address, tt.path)
		if got.err != nil || got.status != tt.status || got.body != tt.body {
			t.Errorf("%s: got status %d, %d bytes, error %v, want status %d and %d bytes", tt.path, got.status, len(got.body), got.err, tt.status, len(tt.body))
			continue
		}
		for name := range got.header {
			if strings.HasPrefix(name, "Hoist-") {
				t.Errorf("%s: got header %s, want none of those between nodes", tt.path, name)
			}
		}
	}
}

// Guards against a second execution of a request that must run once at most, if the node that took it
// over is lost with it, and against a refusal that says it has not run.
func TestForwardedOnceIsNotRepeated(t *testing.T) {
	var taken atomic.Int64
	lost := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		taken.Add(1)
		panic(http.ErrAbortHandler)
	})
	address := newCutRelay(t, lost, lost, lost)
	if got := ask(t, address, "/once/a"); got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got status %d, error %v, want 502", got.status, got.err)
	}
	if got := taken.Load(); got != 1 {
		t.Errorf("got the request at %d nodes, want 1", got)
	}
}

// Guards against a stream that ends with the node that had taken it over: it goes on at another one
// after the last event that the caller has.
func TestForwardedStreamIsResumedAtAnotherNode(t *testing.T) {
	upstreams := &scriptedUpstreams{script: []outcome{wholeStream}}
	sound := newServingNode(t, upstreams)
	var taken atomic.Int64
	// The first node to take the stream over is lost after some events.
	node := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if taken.Add(1) > 1 {
			sound.ServeHTTP(w, r)
			return
		}
		if err := forwardwire.SetAnswer(w.Header(), forwardwire.Answer{Outcome: forwardwire.Answered}); err != nil {
			t.Error(err)
		}
		w.Header().Set(headerSeal, "1")
		writeEvents(w, 0, brokenStreamEvents)
		abortConnection(w)
	})
	address := newCutRelay(t, node, node)
	if got := ask(t, address, "/write/a"); got.err != nil || got.status != http.StatusOK || got.body != eventsText(0, lastStreamEvent) {
		t.Errorf("got status %d, error %v, body %q, want all events once", got.status, got.err, got.body)
	}
}

// Guards against a node that passes requests on although it was passed them, and against requests of
// nodes with a header that this one does not know.
func TestForwardedRequestsThatAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		header func(h http.Header)
		want   forwardwire.Outcome
	}{
		{"no header", func(http.Header) {}, forwardwire.Refused},
		{"unreadable header", func(h http.Header) { h.Set("Hoist-Forwarded-Request", "!") }, forwardwire.Refused},
		{"good header", func(h http.Header) { _ = forwardwire.SetRequest(h, forwardwire.Request{From: "other"}) }, forwardwire.Answered},
	}
	node := newServingNode(t, &scriptedUpstreams{script: []outcome{plainTextAnswer}})
	for _, tt := range tests {
		req := httptest.NewRequest(http.MethodPost, "http://h/read/a", strings.NewReader("x"))
		tt.header(req.Header)
		w := httptest.NewRecorder()
		node.ServeHTTP(w, req)
		answer, err := forwardwire.TakeAnswer(w.Header())
		if err != nil || answer.Outcome != tt.want {
			t.Errorf("%s: got outcome %d, error %v, want %d", tt.name, answer.Outcome, err, tt.want)
		}
	}
}

// Guards against a stream that another node refuses for its key, which was taken away after it had begun, and
// against a caller who spares itself the key with the header that nodes send.
func TestAdmittanceIsTakenFromNodesOnly(t *testing.T) {
	r, _ := newTestRelay(t, &scriptedUpstreams{script: []outcome{plainTextAnswer}})
	route := &catalog.Route{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Repeatable, Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: 1, Timeout: 10_000}
	r.SetCatalog(catalog.New(2, catalog.WithSource([]byte("2"), moment.At(0, 2)), catalog.WithRoutes(route), catalog.WithServices(&catalog.Service{Name: "desk"}),
		catalog.WithAccount(catalog.Account{Name: "clinic"}, "k")), r.clock.Now())
	for _, tt := range []struct {
		name     string
		handler  http.Handler
		admitted bool
		want     int
	}{
		{"node, admitted", http.HandlerFunc(r.ServeForwarded), true, http.StatusOK},
		{"node, not admitted", http.HandlerFunc(r.ServeForwarded), false, http.StatusUnauthorized},
		{"caller", r, true, http.StatusUnauthorized},
	} {
		req := httptest.NewRequest(http.MethodPost, "http://h/read/a", strings.NewReader("x"))
		if err := forwardwire.SetRequest(req.Header, forwardwire.Request{From: "other", Admitted: tt.admitted, Account: "clinic"}); err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		tt.handler.ServeHTTP(w, req)
		if w.Code != tt.want {
			t.Errorf("%s: got status %d, want %d", tt.name, w.Code, tt.want)
		}
	}
}

// Guards against a caller that is never answered, or answered as if its request had run, when no other
// node takes it.
func TestNoNodeTakesTheRequest(t *testing.T) {
	refuse := func(reason dispatch.Reason) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = forwardwire.SetAnswer(w.Header(), forwardwire.Answer{Outcome: forwardwire.Refused, Reason: string(reason), RetryAfter: 700})
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	older := http.NotFoundHandler()
	tests := []struct {
		name   string
		nodes  []http.Handler
		reason dispatch.Reason
	}{
		{"none reaches an upstream", []http.Handler{refuse(dispatch.ReasonNoPath), refuse(dispatch.ReasonNoUpstream)}, dispatch.ReasonNoUpstream},
		{"nodes of an older version", []http.Handler{older, older}, dispatch.ReasonNoUpstream},
		{"the fleet has no memory", []http.Handler{refuse(dispatch.ReasonNoMemory), refuse(dispatch.ReasonNoMemory)}, dispatch.ReasonNoMemory},
	}
	for _, tt := range tests {
		got := ask(t, newCutRelay(t, tt.nodes...), "/once/a")
		if got.err != nil || got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(tt.reason)) {
			t.Errorf("%s: got status %d, error %v, body %q, want 503 for %s", tt.name, got.status, got.err, got.body, tt.reason)
		}
	}
}
