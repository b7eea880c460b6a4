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
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
)

// Headers of sealedProtocol.
const (
	headerSeal  = "Test-Seal"
	headerAfter = "Test-After"
)

// sealedProtocol is a protocol in which an answer without a seal reports that the request was
// not executed.
type sealedProtocol struct{}

func (sealedProtocol) CallerHead(h http.Header) CallerHead { return CallerHead{ID: h.Get("Test-Id")} }

func (sealedProtocol) SetAttempt(h http.Header, a AttemptHead) {
	if a.LastEventID != "" {
		h.Set(headerAfter, a.LastEventID)
	}
}

func (sealedProtocol) SetForwarded(h http.Header, f ForwardHead) {
	if f.LastEventID != "" {
		h.Set(headerAfter, f.LastEventID)
	}
}

func (sealedProtocol) AnswerHead(_ int, h http.Header) AnswerHead {
	sealed := h.Get(headerSeal) != ""
	return AnswerHead{Sealed: sealed, NotExecuted: !sealed}
}

// unresponsiveEngines is a client whose queries to engines all fail.
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

// outcome is the way in which an upstream answers one attempt.
type outcome uint8

// Outcomes of an attempt. A stream has the events 1 to lastStreamEvent; the broken ones end
// after some of them. A streamWithLength declares a length that differs from the length of the
// resumed stream, and an eventWithoutID breaks off after an event without an id.
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

// outcomeCount is the number of outcomes.
const outcomeCount = int(brokenLargeAnswer) + 1

var outcomeNames = [outcomeCount]string{
	"whole stream", "broken stream", "partial event", "partial first event", "stream with length", "event without id", "500", "504", "plain text answer", "404", "not executed", "reset", "large", "large broken",
}

func (o outcome) String() string { return outcomeNames[o] }

const (
	// lastStreamEvent is the id of the last event of each stream, and brokenStreamEvents the
	// number of events that a broken stream sends.
	lastStreamEvent    = 7
	brokenStreamEvents = 2
	// declaredLength is the Content-Length of a streamWithLength, in bytes.
	declaredLength = 100
	// largeAnswerBytes is the size of a large answer, and brokenLargeBytes the part of it that
	// a broken one sends.
	largeAnswerBytes = maxBufferedAnswer + 3*chunkSize
	brokenLargeBytes = maxBufferedAnswer + chunkSize
)

// scriptedUpstreams answers the attempts of one request as scripted; the last outcome is
// repeated.
type scriptedUpstreams struct {
	script []outcome

	mu       sync.Mutex
	attempts int
	// addresses contains the addresses of the upstreams that received the request.
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

// outcome returns the outcome of an attempt, counted from 1.
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
		writeAnswer(w, http.StatusServiceUnavailable, "not executed")
	case connectionReset:
		abortConnection(w)
	case largeAnswer:
		writeAnswer(w, http.StatusOK, wholeBody(o, attempt))
	case brokenLargeAnswer:
		writeAnswer(w, http.StatusOK, wholeBody(o, attempt)[:brokenLargeBytes])
		abortConnection(w)
	}
}

// wholeBody returns the body of an answer that is not a stream. It contains the attempt's
// number, so that the bodies of two attempts differ throughout.
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

// eventsText returns the events after an id, up to and including the last one.
func eventsText(after, last int) string {
	var text strings.Builder
	for id := after + 1; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

func writeText(w http.ResponseWriter, text string) {
	// A write error only means that the caller has disconnected.
	_, _ = w.Write([]byte(text))
	_ = http.NewResponseController(w).Flush()
}

func abortConnection(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

const (
	// testUpstreams is the number of upstreams; most routes let a request execute on all of
	// them.
	testUpstreams = 4
	// fewUpstreams is the number of upstreams on which the route "few" lets a request execute.
	fewUpstreams = 2
)

// newTestRelay runs a relay in front of upstreams that share a handler. It returns the address
// for callers.
func newTestRelay(t *testing.T, upstreams http.Handler) (r *Relay, address string) {
	t.Helper()
	return newLoggingTestRelay(t, upstreams, zap.NewNop())
}

// newLoggingTestRelay is newTestRelay with a log.
func newLoggingTestRelay(t *testing.T, upstreams http.Handler, log *zap.Logger) (r *Relay, address string) {
	t.Helper()
	return newTestRelayWithRetries(t, upstreams, 1e9, log)
}

// newDialingTestRelay is newLoggingTestRelay with a function that connects to the upstreams.
func newDialingTestRelay(t *testing.T, upstreams http.Handler, log *zap.Logger, dial dialFunc) (r *Relay, address string) {
	t.Helper()
	return newTestRelayWithRetries(t, upstreams, 1e9, log, WithDialer(dial))
}

// newTestRelayWithRetries is newTestRelay with the given slack of the retry budget, a log and further
// options.
func newTestRelayWithRetries(t *testing.T, upstreams http.Handler, retrySlack float64, log *zap.Logger, opts ...Option) (r *Relay, address string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	retryShare := 1.0
	if retrySlack == 0 {
		retryShare = 0
	}
	model := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetryShare: retryShare, RetrySlack: retrySlack, MaxWaiting: 8, MaxWaitingBytes: 1 << 20, MaxForwarded: 8}))
	r = New(ctx, sealedProtocol{}, model, clocktest.NewClock(), log,
		append([]Option{WithDialer((&net.Dialer{}).DialContext), WithEngines(unresponsiveEngines{})}, opts...)...)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := r.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Run: got error %v, want context.Canceled", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
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

// testCatalog returns a catalog with a route of each kind.
func testCatalog() *catalog.Catalog { return testCatalogWithin(1, 10_000) }

// testCatalogWithin returns a version of the catalog whose routes have a time limit.
func testCatalogWithin(version uint64, timeout clock.Millis) *catalog.Catalog {
	route := func(name string, kind catalog.Kind, resumable bool) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, Anonymous: true,
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: testUpstreams,
			Timeout: timeout, LatencyTarget: 10_000,
		}
	}
	few := route("few", catalog.Streaming, true)
	few.MaxAttempts = fewUpstreams
	return catalog.New(version,
		catalog.WithRoutes(few,
			route("write", catalog.Streaming, true), route("tell", catalog.Streaming, false),
			route("read", catalog.Repeatable, false), route("once", catalog.AtMostOnce, false),
		),
		catalog.WithServices(&catalog.Service{Name: "desk"}),
	)
}
