package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against a whole answer that has arrived and is replaced by a failure of the node, since something
// else that ends the request or its attempt happens at the same time: the caller is told that its answer is
// lost, or waits for another one.
func TestReadyAnswerIsDelivered(t *testing.T) {
	// A session takes one of several messages at random.
	const rounds = 64
	for _, tt := range []struct {
		name   string
		happen func(*session)
	}{
		{"node ends", func(s *session) {
			s.mailbox.put(dispatch.EndRequestCmd{Answer: dispatch.RespondCmd{Request: s.id, Status: http.StatusBadGateway, Reason: dispatch.ReasonStopping}})
		}},
		{"deadline", func(s *session) { s.deadlineTimer.Reset(0) }},
		{"attempt time is up", func(s *session) { s.attemptTimer.Reset(0) }},
		{"first event is overdue", func(s *session) { s.mailbox.put(dispatch.AbandonCmd{Request: s.id, Attempt: 1}) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for range rounds {
				answer := httptest.NewRecorder()
				s := newReadySession(t, answer)
				tt.happen(s)
				for s.attempt != nil && !s.handleNext() {
				}
				if got, want := answer.Code, http.StatusOK; got != want || answer.Body.String() != "whole" {
					t.Fatalf("got status %d and %q, want %d and the whole answer", got, answer.Body, want)
				}
			}
		})
	}
}

// newReadySession returns a session whose attempt has a whole answer that is not written yet.
func newReadySession(t *testing.T, w http.ResponseWriter) *session {
	t.Helper()
	r, _ := newTestRelay(t, http.NotFoundHandler())
	a := &attempt{
		conns: r.upstreams.get(fleet.Incarnation{}), cmd: dispatch.SendCmd{Attempt: 1, AttemptTimeout: 1},
		cancel: func(error) {}, updates: make(chan attemptUpdate, maxQueuedUpdates),
	}
	a.updates <- attemptUpdate{head: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, data: []byte("whole"), end: true}
	return &session{
		relay: r, log: zap.NewNop(), answer: newAnswerWriter(w, &r.stopping), request: httptest.NewRequest(http.MethodPost, "/once/a", nil),
		mailbox: newMailbox(), sentTo: make(map[fleet.Incarnation]bool),
		deadlineTimer: stoppedTimer(), attemptTimer: stoppedTimer(), silenceTimer: stoppedTimer(), stallTimer: stoppedTimer(), firstEventTimer: stoppedTimer(),
		attempts: 1, attempt: a, route: &catalog.Route{},
	}
}
