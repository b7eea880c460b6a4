package relay

import (
	"net/http"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/internal/contain"
)

// panickingProtocol panics over the first answer.
type panickingProtocol struct {
	sealedProtocol
	answers *atomic.Int64
}

// AnswerHead implements Protocol.
func (p panickingProtocol) AnswerHead(status int, h http.Header) AnswerHead {
	if p.answers.Add(1) == 1 {
		panic("bytes of an upstream")
	}
	return p.sealedProtocol.AnswerHead(status, h)
}

// Guards against an answer that ends the node's process, and with it the requests of all other callers: it may
// cost the attempt that it answers. That attempt may have been executed.
func TestPanicCostsOneAttempt(t *testing.T) {
	for _, tt := range []struct {
		path   string
		status int
	}{
		{"/read/a", http.StatusOK},
		{"/once/a", http.StatusBadGateway},
	} {
		t.Run(tt.path, func(t *testing.T) {
			panics := contain.New(zap.NewNop())
			r, address := newTestRelayWithRetries(t, &scriptedUpstreams{script: []outcome{plainTextAnswer}}, 1e9, zap.NewNop(), WithContainment(panics.Run))
			r.protocol = panickingProtocol{answers: new(atomic.Int64)}
			if got := statusOf(t, "http://"+address+tt.path); got != tt.status {
				t.Errorf("got status %d, want %d", got, tt.status)
			}
			if got := statusOf(t, "http://"+address+tt.path); got != http.StatusOK {
				t.Errorf("got status %d for the next request, want %d", got, http.StatusOK)
			}
			if got, want := panics.Counts().String(), `{"attempt": 1}`; got != want {
				t.Errorf("got panics %s, want %s", got, want)
			}
		})
	}
}

// panickingRequests is a protocol that panics when a request is sent.
type panickingRequests struct{ sealedProtocol }

// SetAttempt implements Protocol.
func (panickingRequests) SetAttempt(http.Header, AttemptHead) { panic("fields of a request") }

// Guards against a request that ends without an answer, since its handler panics: net/http then closes the
// connection. It may have been executed.
func TestPanickingRequestIsAnswered(t *testing.T) {
	panics := contain.New(zap.NewNop())
	r, address := newTestRelayWithRetries(t, &scriptedUpstreams{script: []outcome{plainTextAnswer}}, 1e9, zap.NewNop(), WithContainment(panics.Run))
	r.protocol = panickingRequests{}
	if got, want := statusOf(t, "http://"+address+"/once/a"), http.StatusBadGateway; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := panics.Counts().String(), `{"request": 1}`; got != want {
		t.Errorf("got panics %s, want %s", got, want)
	}
}
