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
	if a.LastEvent != "" {
		h.Set(headerAfter, a.LastEvent)
	}
}

func (sealedProtocol) AnswerHead(_ int, h http.Header) AnswerHead {
	sealed := h.Get(headerSeal) != ""
	return AnswerHead{Sealed: sealed, NotRun: !sealed}
}

// noEngines stands for engines that answer no question.
type noEngines struct{}

func (noEngines) Report(context.Context, string, fleet.Incarnation) (EngineReport, error) {
	return EngineReport{}, errTakenBack
}

func (noEngines) Move(context.Context, string, string, []chain.Stage) (result dispatch.MigrationResult, at string) {
	return dispatch.MigrationUnanswered, ""
}

func (noEngines) Identify(context.Context, string, string, fleet.Incarnation) (fleet.Presence, error) {
	return fleet.PresenceUnknown, errTakenBack
}

func (noEngines) Probe(context.Context, string, fleet.Incarnation) error { return nil }

// outcome is how an upstream answers one attempt.
type outcome uint8

// The outcomes. A stream has lastEvent events; the broken ones end after some, and a
// measured one has named a length that is not that of the stream as others go on
// with it, and one with an unnamed event ends with it.
const (
	wholeStream outcome = iota
	brokenStream
	partialEvent
	partialFirst
	measuredStream
	unnamedEvent
	failure
	failedAtOnce
	otherType
	notFound
	notRun
	reset
	large
	largeBroken
)

// outcomes is how many there are.
const outcomes = int(largeBroken) + 1

var outcomeNames = [outcomes]string{
	"whole stream", "broken stream", "partial event", "partial first event", "measured stream", "unnamed event", "500", "504", "other type", "404", "not run", "reset", "large", "large broken",
}

func (o outcome) String() string { return outcomeNames[o] }

const (
	// lastEvent is the id of the last event of each stream, and eventsEach how many
	// of them a broken one brings.
	lastEvent  = 7
	eventsEach = 2
	// measuredLength is the length in bytes that a measured stream names.
	measuredLength = 100
	// largeAnswer is the size of a large answer in bytes, and largePart how much a
	// broken one brings.
	largeAnswer = bufferedAnswer + 3*pieceSize
	largePart   = bufferedAnswer + pieceSize
)

// scriptedUpstreams answer the attempts of one request in turn; those beyond the
// script as the last of it.
type scriptedUpstreams struct {
	script []outcome

	mu       sync.Mutex
	attempts int
	// asked are the addresses of the upstreams that got the request.
	asked map[string]bool
}

func (u *scriptedUpstreams) next(r *http.Request) (attempt int, o outcome) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts++
	if u.asked == nil {
		u.asked = make(map[string]bool)
	}
	u.asked[fmt.Sprint(r.Context().Value(http.LocalAddrContextKey))] = true
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
	if o != notRun {
		w.Header().Set(headerSeal, strconv.Itoa(attempt))
	}
	switch o {
	case wholeStream:
		writeEvents(w, after, lastEvent)
	case brokenStream:
		writeEvents(w, after, min(after+eventsEach, lastEvent))
		breakOff(w)
	case partialEvent:
		writeEvents(w, after, min(after+eventsEach, lastEvent))
		write(w, "id: 9")
		breakOff(w)
	case partialFirst:
		writeEvents(w, 0, 0)
		write(w, "id: 1")
		breakOff(w)
	case measuredStream:
		w.Header().Set("Content-Length", strconv.Itoa(measuredLength))
		writeEvents(w, after, min(after+eventsEach, lastEvent))
		breakOff(w)
	case unnamedEvent:
		writeEvents(w, after, min(after+eventsEach, lastEvent))
		write(w, "data: piece without an id\n\n")
		breakOff(w)
	case failure:
		answer(w, http.StatusInternalServerError, wholeBody(o, attempt))
	case failedAtOnce:
		answer(w, http.StatusGatewayTimeout, wholeBody(o, attempt))
	case otherType:
		answer(w, http.StatusOK, wholeBody(o, attempt))
	case notFound:
		answer(w, http.StatusNotFound, wholeBody(o, attempt))
	case notRun:
		answer(w, http.StatusServiceUnavailable, "not run")
	case reset:
		breakOff(w)
	case large:
		answer(w, http.StatusOK, wholeBody(o, attempt))
	case largeBroken:
		answer(w, http.StatusOK, wholeBody(o, attempt)[:largePart])
		breakOff(w)
	}
}

// wholeBody is the body of an answer that is no stream. It names the attempt, so
// that those of two attempts differ throughout.
func wholeBody(o outcome, attempt int) string {
	if o == large || o == largeBroken {
		return strings.Repeat(strconv.Itoa(attempt%10), largeAnswer)
	}
	return fmt.Sprintf("%v of attempt %d", o, attempt)
}

func answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	write(w, body)
}

func writeEvents(w http.ResponseWriter, after, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	write(w, eventsText(after, last))
}

// eventsText is the events after one up to another.
func eventsText(after, last int) string {
	var text strings.Builder
	for id := after + 1; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

func write(w http.ResponseWriter, text string) {
	// An upstream whose caller has left has nobody to tell.
	_, _ = w.Write([]byte(text))
	_ = http.NewResponseController(w).Flush()
}

func breakOff(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

const (
	// upstreamsOfTest is how many upstreams there are, and how many of them most routes
	// let run a request.
	upstreamsOfTest = 4
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
		WithDialer((&net.Dialer{}).DialContext), WithEngines(noEngines{}))
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
	for i := range upstreamsOfTest {
		server := httptest.NewServer(upstreams)
		t.Cleanup(server.Close)
		id := fleet.IncarnationByID(fleet.ID("u" + strconv.Itoa(i)))
		r.SetFleet([]fleet.Change{{ID: id, Upstream: fleet.Upstream{
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
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: upstreamsOfTest,
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
