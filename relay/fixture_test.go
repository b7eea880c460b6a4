package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
)

// Headers of the fixture's protocol.
const (
	headerSeal  = "Test-Seal"
	headerAfter = "Test-After"
)

// sealedProtocol is a protocol in which an answer without a seal has not run.
type sealedProtocol struct{}

func (sealedProtocol) CallerHead(h http.Header) CallerHead { return CallerHead{ID: h.Get("Test-Id")} }

func (sealedProtocol) SetAttempt(h http.Header, a AttemptHead) {
	if a.LastEventID != "" {
		h.Set(headerAfter, a.LastEventID)
	}
}

func (sealedProtocol) AnswerHead(_ int, h http.Header) AnswerHead {
	sealed := h.Get(headerSeal) != ""
	return AnswerHead{Sealed: sealed, NotExecuted: !sealed}
}

// unresponsiveEngines stands for engines that answer no question.
type unresponsiveEngines struct{}

func (unresponsiveEngines) Report(context.Context, string, fleet.Incarnation) (EngineReport, error) {
	return EngineReport{}, errAttemptAbandoned
}

func (unresponsiveEngines) Move(context.Context, string, string, []chain.Stage) (result dispatch.MigrationResult, at string) {
	return dispatch.MigrationUnanswered, ""
}

func (unresponsiveEngines) Identify(context.Context, string, string, fleet.Incarnation) (fleet.Presence, error) {
	return fleet.PresenceUnknown, errAttemptAbandoned
}

func (unresponsiveEngines) Probe(context.Context, string, fleet.Incarnation) error { return nil }

// outcome is how an upstream answers one attempt.
type outcome uint8

// The outcomes. A stream has lastEventID events; the broken ones end after some, and a
// measured one has named a length that is not that of the stream as others go on
// with it, and one with an unnamed event ends with it.
const (
	wholeStream outcome = iota
	brokenStream
	partialEvent
	partialFirst
	streamWithLength
	eventWithoutID
	failure
	gatewayTimeout
	plainTextAnswer
	notFound
	notExecuted
	connectionReset
	largeAnswer
	brokenLargeAnswer
)

// outcomeCount is how many there are.
const outcomeCount = int(brokenLargeAnswer) + 1

var outcomeNames = [outcomeCount]string{
	"whole stream", "broken stream", "partial event", "partial first event", "measured stream", "unnamed event", "500", "504", "other type", "404", "not run", "reset", "large", "large broken",
}

func (o outcome) String() string { return outcomeNames[o] }

const (
	// lastEventID is the id of the last event of each stream, and brokenStreamEvents how many
	// of them a broken one brings.
	lastStreamEvent    = 7
	brokenStreamEvents = 2
	// declaredLength is the length in bytes that a measured stream names.
	declaredLength = 100
	// largeAnswerBytes is the size of a large answer in bytes, and brokenLargeBytes how much a
	// broken one brings.
	largeAnswerBytes = maxBufferedAnswer + 3*chunkSize
	brokenLargeBytes = maxBufferedAnswer + chunkSize
)

// scriptedUpstreams answer the attempts of one request in turn; those beyond the
// script as the last of it.
type scriptedUpstreams struct {
	script []outcome

	mu       sync.Mutex
	attempts int
	// addresses are the addresses of the upstreams that got the request.
	addresses map[string]bool
}

func (u *scriptedUpstreams) next(r *http.Request) (attempt int, o outcome) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts++
	if u.addresses == nil {
		u.addresses = make(map[string]bool)
	}
	u.addresses[fmt.Sprint(r.Context().Value(http.LocalAddrContextKey))] = true
	return u.attempts, u.outcome(u.attempts)
}

// outcome is that of an attempt, counted from 1.
func (u *scriptedUpstreams) outcome(attempt int) outcome {
	return u.script[min(attempt, len(u.script))-1]
}

// ServeHTTP implements http.Handler.
func (u *scriptedUpstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt, o := u.next(r)
	after, _ := strconv.Atoi(r.Header.Get(headerAfter))
	if o != notExecuted {
		w.Header().Set(headerSeal, strconv.Itoa(attempt))
	}
	switch o {
	case wholeStream:
		writeEvents(w, after, lastStreamEvent)
	case brokenStream:
		writeEvents(w, after, min(after+brokenStreamEvents, lastStreamEvent))
		abortConnection(w)
	case partialEvent:
		writeEvents(w, after, min(after+brokenStreamEvents, lastStreamEvent))
		writeText(w, "id: 9")
		abortConnection(w)
	case partialFirst:
		writeEvents(w, 0, 0)
		writeText(w, "id: 1")
		abortConnection(w)
	case streamWithLength:
		w.Header().Set("Content-Length", strconv.Itoa(declaredLength))
		writeEvents(w, after, min(after+brokenStreamEvents, lastStreamEvent))
		abortConnection(w)
	case eventWithoutID:
		writeEvents(w, after, min(after+brokenStreamEvents, lastStreamEvent))
		writeText(w, "data: piece without an id\n\n")
		abortConnection(w)
	case failure:
		writeAnswer(w, http.StatusInternalServerError, wholeBody(o, attempt))
	case gatewayTimeout:
		writeAnswer(w, http.StatusGatewayTimeout, wholeBody(o, attempt))
	case plainTextAnswer:
		writeAnswer(w, http.StatusOK, wholeBody(o, attempt))
	case notFound:
		writeAnswer(w, http.StatusNotFound, wholeBody(o, attempt))
	case notExecuted:
		writeAnswer(w, http.StatusServiceUnavailable, "not run")
	case connectionReset:
		abortConnection(w)
	case largeAnswer:
		writeAnswer(w, http.StatusOK, wholeBody(o, attempt))
	case brokenLargeAnswer:
		writeAnswer(w, http.StatusOK, wholeBody(o, attempt)[:brokenLargeBytes])
		abortConnection(w)
	}
}

// wholeBody is the body of an answer that is no stream. It names the attempt, so
// that those of two attempts differ throughout.
func wholeBody(o outcome, attempt int) string {
	if o == largeAnswer || o == brokenLargeAnswer {
		return strings.Repeat(strconv.Itoa(attempt%10), largeAnswerBytes)
	}
	return fmt.Sprintf("%v of attempt %d", o, attempt)
}

func writeAnswer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	writeText(w, body)
}

func writeEvents(w http.ResponseWriter, after, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	writeText(w, eventsText(after, last))
}

// eventsText is the events after one up to another.
func eventsText(after, last int) string {
	var text strings.Builder
	for id := after + 1; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

func writeText(w http.ResponseWriter, text string) {
	// An upstream whose caller has left has nobody to tell.
	_, _ = w.Write([]byte(text))
	_ = http.NewResponseController(w).Flush()
}

func abortConnection(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

const (
	// testUpstreams is how many upstreams there are, and how many of them most routes
	// let run a request.
	testUpstreams = 4
	// fewUpstreams is how many of them the route of few lets do so.
	fewUpstreams = 2
)

// newTestRelay runs a relay in front of upstreams that answer alike. It returns the
// address at which callers reach it.
func newTestRelay(t *testing.T, upstreams http.Handler) (r *Relay, address string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	model := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetryShare: 1, RetrySlack: 1e9}))
	r = New(ctx, sealedProtocol{}, model, clocktest.NewClock(), zap.NewNop(),
		WithDialer((&net.Dialer{}).DialContext), WithEngines(unresponsiveEngines{}))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := r.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v from the relay, want it to run until it is stopped", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	r.SetCatalog(testCatalog(), r.clock.Now())
	r.SetPeers(dispatch.PeersMsg{TotalNodes: 1, Members: []limit.Member{{}}})
	for i := range testUpstreams {
		server := httptest.NewServer(upstreams)
		t.Cleanup(server.Close)
		id := fleet.IncarnationByID(fleet.ID("u" + strconv.Itoa(i)))
		r.UpdateFleet([]fleet.Change{{ID: id, Upstream: fleet.Upstream{
			ID: id, Service: "desk", Address: server.Listener.Addr().String(),
		}}})
	}
	front := httptest.NewServer(r)
	t.Cleanup(front.Close)
	return r, front.Listener.Addr().String()
}

// testCatalog has one route of each kind.
func testCatalog() *catalog.Catalog {
	route := func(name string, kind catalog.Kind, resumable bool) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, Anonymous: true,
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: testUpstreams,
			Timeout: 10_000, LatencyTarget: 10_000,
		}
	}
	few := route("few", catalog.Streaming, true)
	few.MaxAttempts = fewUpstreams
	return catalog.New(1,
		catalog.WithRoutes(few,
			route("write", catalog.Streaming, true), route("tell", catalog.Streaming, false),
			route("read", catalog.Repeatable, false), route("once", catalog.AtMostOnce, false),
		),
		catalog.WithServices(&catalog.Service{Name: "desk"}),
	)
}
