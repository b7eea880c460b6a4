package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/dispatch"
)

// Guards against a request that no upstream has executed and whose caller learns nothing when its time is
// up: one that was sent and refused is as safe to repeat as one that was never sent.
func TestTimeoutTellsWhetherExecuted(t *testing.T) {
	for _, tt := range []struct {
		cause  dispatch.Cause
		status int
	}{
		{dispatch.CauseFull, http.StatusServiceUnavailable},
		{dispatch.CauseNotSent, http.StatusServiceUnavailable},
		{dispatch.CauseUnknown, http.StatusGatewayTimeout},
		{dispatch.CauseNoProgress, http.StatusGatewayTimeout},
	} {
		t.Run(tt.cause.String(), func(t *testing.T) {
			r, _ := newTestRelay(t, http.NotFoundHandler())
			answer := httptest.NewRecorder()
			s := &session{
				relay: r, log: zap.NewNop(), answer: newAnswerWriter(answer, &r.stopping), request: httptest.NewRequest(http.MethodPost, "/once/a", nil),
				deadlineTimer: stoppedTimer(), attemptTimer: stoppedTimer(), silenceTimer: stoppedTimer(), stallTimer: stoppedTimer(), firstEventTimer: stoppedTimer(),
				attempts: 1, attempt: &attempt{cmd: dispatch.SendCmd{Attempt: 1}, cancel: func(error) {}},
			}
			s.failAttempt(tt.cause, UpstreamStatus{}, nil)
			s.handleTimeout()
			if answer.Code != tt.status {
				t.Errorf("got status %d, want %d", answer.Code, tt.status)
			}
		})
	}
}
