package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{"rapid.checks": "300"}) }

// callerAnswer is the answer that a caller received.
type callerAnswer struct {
	status int
	sealed bool
	body   string
	// complete reports that the answer ended without an error.
	complete bool
}

func call(t testing.TB, client *http.Client, address, path string) callerAnswer {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	resp, err := client.Do(req)
	if err != nil {
		return callerAnswer{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callerAnswer{status: resp.StatusCode, sealed: resp.Header.Get(headerSeal) != "", body: string(body), complete: err == nil}
}

// A truncated stream looked complete to its caller: the upstreams that should have resumed it
// answered with failures, and the last failure's body was written into the partial answer,
// which then ended regularly. An answer other than an event stream cannot resume a stream.
func TestPartialStreamIsNotCompletedByAnotherAnswer(t *testing.T) {
	for _, o := range []outcome{failure, gatewayTimeout, notFound, plainTextAnswer, notExecuted, connectionReset, largeAnswer, brokenLargeAnswer} {
		t.Run(o.String(), func(t *testing.T) {
			_, address := newTestRelay(t, &scriptedUpstreams{script: []outcome{brokenStream, o}})
			got := call(t, http.DefaultClient, address, "/write/a")
			if got.complete {
				t.Errorf("got a complete answer of %d bytes, want an aborted one", len(got.body))
			}
			if want := eventsText(0, brokenStreamEvents); got.body != want {
				t.Errorf("got %d bytes that end in %q, want the events before the break", len(got.body), suffix(got.body, 40))
			}
		})
	}
}

// An upstream may declare the length of its stream. The upstream that resumes it need not split
// the remaining text into the same events.
func TestResumedStreamHasNoLength(t *testing.T) {
	_, address := newTestRelay(t, &scriptedUpstreams{script: []outcome{streamWithLength, wholeStream}})
	got := call(t, http.DefaultClient, address, "/write/a")
	if want := eventsText(0, lastStreamEvent); !got.complete || got.body != want {
		t.Errorf("got complete=%v and %d bytes, want a complete answer of %d bytes", got.complete, len(got.body), len(want))
	}
}

// A stream cannot be resumed after an event without an id, since the next attempt would send
// that event again.
func TestEventWithoutIDIsNotResumed(t *testing.T) {
	_, address := newTestRelay(t, &scriptedUpstreams{script: []outcome{eventWithoutID, wholeStream}})
	if got := call(t, http.DefaultClient, address, "/write/a"); got.complete {
		t.Errorf("got a complete answer that ends in %q, want an aborted one", suffix(got.body, 60))
	}
}

func suffix(text string, n int) string { return text[max(0, len(text)-n):] }

// For any answers of the upstreams, an answer that looks complete to the caller is exactly one
// of theirs, all events of a stream, or an error answer of the node.
func TestCompleteAnswersAreWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) outcome {
			return outcome(rapid.IntRange(0, outcomeCount-1).Draw(rt, "outcome"))
		}), 1, 6).Draw(rt, "script")
		path := rapid.SampledFrom([]string{"/write/a", "/tell/a", "/read/a", "/once/a"}).Draw(rt, "path")
		upstreams := &scriptedUpstreams{script: script}
		t.Run("", func(t *testing.T) {
			_, address := newTestRelay(t, upstreams)
			got := call(t, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, address, path)
			if got.complete && !isValidComplete(got, upstreams) {
				rt.Errorf("%s %v: got a complete answer %d of %d bytes that end in %q", path, script, got.status, len(got.body), suffix(got.body, 40))
			}
		})
	})
}

// isValidComplete reports whether an answer may look complete.
func isValidComplete(got callerAnswer, upstreams *scriptedUpstreams) bool {
	if !got.sealed {
		return got.status >= http.StatusBadRequest && strings.HasPrefix(got.body, `{"error":`)
	}
	if got.body == eventsText(0, lastStreamEvent) && got.status == http.StatusOK {
		return true
	}
	upstreams.mu.Lock()
	defer upstreams.mu.Unlock()
	for attempt := 1; attempt <= upstreams.attempts; attempt++ {
		if got.body == wholeBody(upstreams.outcome(attempt), attempt) {
			return true
		}
	}
	return false
}

// A caller that has closed its sending half of the connection counts as disconnected, but still
// reads. An answer that was not completed, or not started, must not look complete to it.
func TestHalfClosedCallerGetsNoCompleteAnswer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		events int
	}{{"before the answer", 0}, {"during a stream", brokenStreamEvents}} {
		t.Run(tt.name, func(t *testing.T) {
			_, address := newTestRelay(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerSeal, "1")
				if tt.events > 0 {
					writeEvents(w, 0, tt.events)
				}
				<-r.Context().Done()
			}))
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write([]byte("GET /write/a HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			answer := bufio.NewReader(conn)
			if tt.events > 0 {
				if _, err := answer.Peek(1); err != nil {
					t.Fatal(err)
				}
			}
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(answer, nil)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("got a complete answer %d of %d bytes, want none", resp.StatusCode, len(body))
			}
		})
	}
}

// A complete answer leaves the connection usable for the next request, even if it has no body.
func TestWholeAnswerKeepsTheConnection(t *testing.T) {
	tests := []struct {
		name, method, path string
		upstream           http.HandlerFunc
	}{
		{"stream", http.MethodPost, "/write/a", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 0, lastStreamEvent) }},
		{"empty stream", http.MethodPost, "/write/a", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 0, 0) }},
		{"stream with a length", http.MethodPost, "/write/a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(eventsText(0, lastStreamEvent))))
			writeEvents(w, 0, lastStreamEvent)
		}},
		{"failure", http.MethodPost, "/once/a", func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, http.StatusInternalServerError, "no") }},
		{"large", http.MethodPost, "/read/a", func(w http.ResponseWriter, _ *http.Request) {
			writeAnswer(w, http.StatusOK, wholeBody(largeAnswer, 1))
		}},
		{"head", http.MethodHead, "/read/a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "12")
			w.WriteHeader(http.StatusOK)
		}},
		{"head of a stream", http.MethodHead, "/write/a", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 0, 0) }},
		{"no content", http.MethodPost, "/once/a", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }},
		{"not modified", http.MethodGet, "/read/a", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := newTestRelay(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerSeal, "1")
				tt.upstream(w, r)
			}))
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i, want := range []bool{false, true} {
				if got := reused(t, client, tt.method, "http://"+address+tt.path); got != want {
					t.Errorf("request %d: got kept connection=%v, want %v", i+1, got, want)
				}
			}
		})
	}
}

// reused sends a request and reports whether it used a kept connection.
func reused(t *testing.T, client *http.Client, method, url string) bool {
	t.Helper()
	kept := false
	req, err := http.NewRequest(method, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return kept
}

// An answer that any part of the node leaves incomplete must be aborted and counted.
func TestIncompleteAnswerIsAborted(t *testing.T) {
	head := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}}
	tests := []struct {
		name  string
		write func(*answerWriter) error
	}{
		{"not started", func(*answerWriter) error { return nil }},
		{"headers only", func(a *answerWriter) error { return a.writeHead(head, fleet.Incarnation{}) }},
		{"started", func(a *answerWriter) error {
			return errors.Join(a.writeHead(head, fleet.Incarnation{}), a.writeBody([]byte("id: 1\n\n")))
		}},
		{"another answer", func(a *answerWriter) error {
			err := a.writeHead(head, fleet.Incarnation{})
			if got := a.writeError(http.StatusBadGateway, "late", 0); !errors.Is(got, errAnswerStarted) {
				t.Errorf("got %v, want %v", got, errAnswerStarted)
			}
			if got := a.complete(head, fleet.Incarnation{}, []byte("late")); !errors.Is(got, errAnswerStarted) {
				t.Errorf("got %v, want %v", got, errAnswerStarted)
			}
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := newTestRelay(t, http.NotFoundHandler())
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				answer := newAnswerWriter(w, &r.stopping)
				if err := tt.write(answer); err != nil {
					t.Error(err)
				}
				r.abortUnlessComplete(answer, "id", false)
			}))
			defer server.Close()
			if got := call(t, http.DefaultClient, server.Listener.Addr().String(), "/"); got.complete {
				t.Errorf("got a complete answer %+v, want an aborted one", got)
			}
			if got, want := r.stats.counters.Get("left_open"), "1"; got == nil || got.String() != want {
				t.Errorf("got %v answers counted as left_open, want %s", got, want)
			}
		})
	}
}

// A route bounds how many upstreams may execute a request. An upstream that has started to
// answer has executed it, even if its stream breaks off within the first event.
func TestExecutingUpstreamsAreBounded(t *testing.T) {
	for _, o := range []outcome{partialFirst, brokenStream, failure} {
		t.Run(o.String(), func(t *testing.T) {
			upstreams := &scriptedUpstreams{script: []outcome{o}}
			_, address := newTestRelay(t, upstreams)
			call(t, http.DefaultClient, address, "/few/a")
			upstreams.mu.Lock()
			defer upstreams.mu.Unlock()
			if got := len(upstreams.addresses); got > fewUpstreams {
				t.Errorf("got a request sent to %d upstreams, want at most %d", got, fewUpstreams)
			}
		})
	}
}
