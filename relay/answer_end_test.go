package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwardwire"
	"github.com/hoistjunction/hoistjunction/moment"
)

// unframedAnswer is the answer of an upstream to one attempt. It has neither a length nor chunks, unless
// framed is set, and ends with a regular close of its connection.
type unframedAnswer struct {
	framed bool
	plain  bool
	// events is the number of events after the last one that the caller has, up to lastStreamEvent. For
	// a plain answer, it is the size of the body.
	events int
	// dies reports whether the upstream's process ends with the answer.
	dies bool
}

// mortalUpstreams are upstreams that answer the attempts of one request in turn, and whose processes may
// end with an answer. Such an upstream answers nothing from then on.
type mortalUpstreams struct {
	unresponsiveEngines
	// version is the protocol version of answers, HTTP/1.0 or HTTP/1.1.
	version string
	answers []unframedAnswer

	mu       sync.Mutex
	attempts int
	dead     map[string]bool
	probes   int
}

// Probe implements Engines.
func (u *mortalUpstreams) Probe(_ context.Context, address string, _ fleet.Incarnation) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.probes++
	if u.dead[address] {
		return errAttemptAbandoned
	}
	return nil
}

// counts returns how many attempts and probes have arrived.
func (u *mortalUpstreams) counts() (attempts, probes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.attempts, u.probes
}

// next returns the answer to an attempt at an upstream; false if the upstream's process has ended.
func (u *mortalUpstreams) next(address string) (attempt int, answer unframedAnswer, alive bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead[address] {
		return 0, unframedAnswer{}, false
	}
	u.attempts++
	answer = u.answers[min(u.attempts, len(u.answers))-1]
	if answer.dies {
		if u.dead == nil {
			u.dead = make(map[string]bool)
		}
		u.dead[address] = true
	}
	return u.attempts, answer, true
}

// ServeHTTP implements http.Handler.
func (u *mortalUpstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt, answer, alive := u.next(fmt.Sprint(r.Context().Value(http.LocalAddrContextKey)))
	if !alive {
		abortConnection(w)
	}
	contentType, body := "text/plain", strings.Repeat(strconv.Itoa(attempt), answer.events)
	if !answer.plain {
		after, _ := strconv.Atoi(r.Header.Get(headerAfter))
		contentType, body = "text/event-stream", eventsText(after, min(after+answer.events, lastStreamEvent))
	}
	if answer.framed {
		w.Header().Set(headerSeal, strconv.Itoa(attempt))
		w.Header().Set("Content-Type", contentType)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, body)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(buffered, "%s 200 OK\r\n%s: %d\r\nContent-Type: %s\r\n\r\n%s", u.version, headerSeal, attempt, contentType, body)
	_ = buffered.Flush()
}

// endCase is a request whose answers end with their connections.
type endCase struct {
	name    string
	path    string
	answers []unframedAnswer
	// body is the body of the answer that the caller gets, and status its status; complete reports
	// whether it ends as a whole answer does.
	status   int
	body     string
	complete bool
	attempts int
}

// streamEndCases returns the cases of event streams.
func streamEndCases() []endCase {
	whole, part := eventsText(0, lastStreamEvent), eventsText(0, 2)
	cut := unframedAnswer{events: 2, dies: true}
	all := unframedAnswer{events: lastStreamEvent}
	allThenDies := unframedAnswer{events: lastStreamEvent, dies: true}
	return []endCase{
		{"stream of a living upstream", "/write/a", []unframedAnswer{all}, http.StatusOK, whole, true, 1},
		{"stream that may not be resumed, of a living upstream", "/tell/a", []unframedAnswer{all}, http.StatusOK, whole, true, 1},
		{"stream resumed with a frame", "/write/a", []unframedAnswer{cut, {framed: true, events: lastStreamEvent}}, http.StatusOK, whole, true, 2},
		{"stream resumed without a frame", "/write/a", []unframedAnswer{cut, all}, http.StatusOK, whole, true, 2},
		{"stream cut twice", "/write/a", []unframedAnswer{cut, cut, all}, http.StatusOK, whole, true, 3},
		{"end after the last event, then nothing with a frame", "/write/a", []unframedAnswer{allThenDies, {framed: true}}, http.StatusOK, whole, true, 2},
		{"end after the last event, then nothing without a frame", "/write/a", []unframedAnswer{allThenDies, {}}, http.StatusOK, whole, true, 2},
		{"stream cut at every upstream", "/write/a", []unframedAnswer{cut, {dies: true}}, http.StatusOK, part, false, testUpstreams},
		{"stream cut at as many upstreams as may execute it", "/few/a", []unframedAnswer{cut, {dies: true}}, http.StatusOK, part, false, fewUpstreams},
		{"stream that may not be resumed", "/tell/a", []unframedAnswer{cut, all}, http.StatusOK, part, false, 1},
	}
}

// plainEndCases returns the cases of answers that are no event streams.
func plainEndCases() []endCase {
	plain := unframedAnswer{plain: true, events: 5}
	plainThenDies := unframedAnswer{plain: true, events: 5, dies: true}
	large := unframedAnswer{plain: true, events: largeAnswerBytes}
	largeThenDies := unframedAnswer{plain: true, events: largeAnswerBytes, dies: true}
	largeBody := strings.Repeat("1", largeAnswerBytes)
	return []endCase{
		{"living upstream", "/once/a", []unframedAnswer{plain}, http.StatusOK, "11111", true, 1},
		{"may be repeated", "/read/a", []unframedAnswer{plainThenDies, plain}, http.StatusOK, "22222", true, 2},
		{"may not be repeated", "/once/a", []unframedAnswer{plainThenDies, plain}, http.StatusBadGateway, "", true, 1},
		{"large answer of a living upstream", "/read/a", []unframedAnswer{large}, http.StatusOK, largeBody, true, 1},
		{"large answer", "/read/a", []unframedAnswer{largeThenDies, large}, http.StatusOK, largeBody, false, 1},
	}
}

// run sends the request of a case in each version of the protocol on either side.
func (tt endCase) run(t *testing.T) {
	for _, caller := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, upstream := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(fmt.Sprintf("%s, caller %s, upstream %s", tt.name, caller, upstream), func(t *testing.T) {
				t.Parallel()
				upstreams := &mortalUpstreams{version: upstream, answers: tt.answers}
				_, address := newTestRelayWithRetries(t, upstreams, 1e9, zap.NewNop(), WithEngines(upstreams))
				tt.check(t, callVersion(t, address, tt.path, caller))
				if attempts, _ := upstreams.counts(); attempts != tt.attempts {
					t.Errorf("got %d attempts, want %d", attempts, tt.attempts)
				}
			})
		}
	}
}

// check compares what the caller got with the case.
func (tt endCase) check(t *testing.T, got callerAnswer) {
	if got.complete != tt.complete {
		t.Errorf("got complete=%v with status %d and %d bytes, want %v", got.complete, got.status, len(got.body), tt.complete)
	}
	if tt.complete && got.status != tt.status {
		t.Errorf("got status %d, want %d", got.status, tt.status)
	}
	if tt.status != http.StatusOK {
		return
	}
	if tt.complete && got.body != tt.body {
		t.Errorf("got a body of %d bytes, %.100q, want %d bytes, %.100q", len(got.body), got.body, len(tt.body), tt.body)
	}
	if !strings.HasPrefix(tt.body, got.body) {
		t.Errorf("got body %.100q, want a beginning of %.100q", got.body, tt.body)
	}
}

// Guards against a stream that ends with its connection and counts as complete although its upstream's
// process has ended: a process that is killed closes its connections as one does that has finished. A
// stream that may be resumed goes on elsewhere, where the answer may be of the same form; otherwise the
// caller's answer must not end as a whole one does.
func TestEndOfStreamWithEndOfUpstream(t *testing.T) {
	for _, tt := range streamEndCases() {
		tt.run(t)
	}
}

// Guards against the same for answers that are no event streams: a request that may be repeated is sent
// again, and one that may not must get no answer that looks whole.
func TestEndOfPlainAnswerWithEndOfUpstream(t *testing.T) {
	for _, tt := range plainEndCases() {
		tt.run(t)
	}
}

// Guards against an answer without an end mark that another node passes on. Nodes mark the ends of all
// answers, so such a connection has been closed early, and nobody can be asked about it.
func TestUnframedAnswerOfAnotherNode(t *testing.T) {
	for _, tt := range []struct {
		path, contentType, body string
		want                    callerAnswer
	}{
		{"/write/a", "text/event-stream", eventsText(0, 2), callerAnswer{status: http.StatusOK, body: eventsText(0, lastStreamEvent), complete: true}},
		{"/tell/a", "text/event-stream", eventsText(0, 2), callerAnswer{status: http.StatusOK, body: eventsText(0, 2)}},
		{"/once/a", "text/plain", "part", callerAnswer{status: http.StatusBadGateway, body: `{"error":"answer_lost"}` + "\n", complete: true}},
	} {
		sound := newServingNode(t, &scriptedUpstreams{script: []outcome{wholeStream}})
		var taken atomic.Int64
		node := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if taken.Add(1) > 1 {
				sound.ServeHTTP(w, r)
				return
			}
			answerUnframed(w, r, tt.contentType, tt.body)
		})
		got := callVersion(t, newCutRelay(t, node, node), tt.path, "HTTP/1.1")
		got.sealed = false
		if got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.path, got, tt.want)
		}
	}
}

// answerUnframed answers for another node with neither a length nor chunks.
func answerUnframed(w http.ResponseWriter, r *http.Request, contentType, body string) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	h := http.Header{headerSeal: {"1"}, "Content-Type": {contentType}}
	if err := forwardwire.SetAnswer(h, forwardwire.Answer{Outcome: forwardwire.Answered, Upstream: fleet.IncarnationByID("u1")}); err != nil {
		panic(err)
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(buffered)
	_, _ = buffered.WriteString("\r\n" + body)
	_ = buffered.Flush()
}

// Guards against a stream that is resumed beyond the retry budget, and against one that ends as complete
// since it cannot be resumed.
func TestUnconfirmedEndWithoutRetryBudget(t *testing.T) {
	upstreams := &mortalUpstreams{version: "HTTP/1.1", answers: []unframedAnswer{{events: 2, dies: true}, {events: lastStreamEvent}}}
	r, address := newTestRelayWithRetries(t, upstreams, 0, zap.NewNop(), WithEngines(upstreams))
	route := &catalog.Route{
		Name: "write", Host: "h", Prefix: "/write/", Kind: catalog.Streaming, Resumable: true, Anonymous: true,
		Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: testUpstreams, Timeout: 200, LatencyTarget: 100,
	}
	r.SetCatalog(catalog.New(2, catalog.WithSource([]byte("2"), moment.At(0, 2)), catalog.WithRoutes(route), catalog.WithServices(&catalog.Service{Name: "desk"})), r.clock.Now())
	if got := callVersion(t, address, "/write/a", "HTTP/1.1"); got.complete {
		t.Errorf("got a complete answer of %d bytes, want one that is broken off", len(got.body))
	}
	if attempts, _ := upstreams.counts(); attempts != 1 {
		t.Errorf("got %d attempts, want 1", attempts)
	}
}

// Guards against probes for answers whose end is marked: only answers that end with their connection may
// cost one.
func TestMarkedEndsNeedNoProbe(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		answer     unframedAnswer
	}{
		{"stream", "/write/a", unframedAnswer{framed: true, events: lastStreamEvent, dies: true}},
		{"plain", "/once/a", unframedAnswer{framed: true, plain: true, events: 5, dies: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			upstreams := &mortalUpstreams{version: "HTTP/1.1", answers: []unframedAnswer{tt.answer}}
			_, address := newTestRelayWithRetries(t, upstreams, 1e9, zap.NewNop(), WithEngines(upstreams))
			if got := callVersion(t, address, tt.path, "HTTP/1.1"); !got.complete || got.status != http.StatusOK {
				t.Errorf("got status %d, complete=%v, want a complete answer", got.status, got.complete)
			}
			if attempts, probes := upstreams.counts(); attempts != 1 || probes != 0 {
				t.Errorf("got %d attempts and %d probes, want 1 and none", attempts, probes)
			}
		})
	}
}

// Guards against an answer to HEAD that counts as one that ends with its connection, since its head has
// neither a length nor chunks. It has no body whose end must be marked. The head of a stream failed, and
// its request was sent to every upstream.
func TestAnswersToHEADNeedNoProbe(t *testing.T) {
	for _, path := range []string{"/write/a", "/read/a"} {
		upstreams := &mortalUpstreams{version: "HTTP/1.1", answers: []unframedAnswer{{plain: path == "/read/a"}}}
		_, address := newTestRelayWithRetries(t, upstreams, 1e9, zap.NewNop(), WithEngines(upstreams))
		req, err := http.NewRequest(http.MethodHead, "http://"+address+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%s: got status %d, want 200", path, resp.StatusCode)
		}
		if attempts, probes := upstreams.counts(); attempts != 1 || probes != 0 {
			t.Errorf("%s: got %d attempts and %d probes, want 1 and none", path, attempts, probes)
		}
	}
}
