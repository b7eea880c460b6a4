package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/internal/brokenanswer"
)

const brokenBody = "body of a broken answer"

// Guards against an answer with an invalid status, which an upstream in trouble may send. net/http accepts 000,
// and a node cannot write it: each caller was cut off without an answer.
func TestAnswerWithInvalidStatusIsNone(t *testing.T) {
	checkBrokenHeads(t, brokenanswer.InvalidStatuses(brokenBody, "Test-Seal: s"))
}

// Guards against an answer in whose head the name of a field is none. net/http accepts names with a blank, and
// joins a line that begins with one to the line before. Callers got the answer without the broken line, with a
// changed one, or with a body whose length that line might have named.
func TestAnswerWithInvalidFieldNameIsNone(t *testing.T) {
	checkBrokenHeads(t, brokenanswer.InvalidFieldNames(brokenBody, "Test-Seal: s"))
}

// checkBrokenHeads checks that callers get none of the answers, and that another upstream serves a request that
// may be repeated, but no other.
func checkBrokenHeads(t *testing.T, answers map[string]brokenanswer.Answer) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, kind := range []string{"read", "once", "tell", "write"} {
				core, logs := observer.New(zap.InfoLevel)
				_, address := newLoggingTestRelay(t, answer, zap.New(core))
				got := ask(t, address, "/"+kind+"/a")
				if got.err != nil || got.status != http.StatusBadGateway || got.header.Get(headerSeal) != "" || strings.Contains(got.body, brokenBody) {
					t.Errorf("%s: got status %d, headers %v, body %q and error %v, want 502 of the node", kind, got.status, got.header, got.body, got.err)
				}
				for _, entry := range logs.FilterMessage("attempt_failed").All() {
					if got, want := entry.ContextMap()["cause"], dispatch.CauseBrokenAnswer.String(); got != want {
						t.Errorf("%s: got cause %v, want %v", kind, got, want)
					}
				}
			}
			for path, want := range map[string]int{"/read/a": http.StatusOK, "/once/a": http.StatusBadGateway} {
				_, address := newTestRelay(t, &firstBroken{answer: answer, then: &scriptedUpstreams{script: []outcome{plainTextAnswer}}})
				if got := ask(t, address, path); got.status != want {
					t.Errorf("%s with one broken answer: got status %d, body %q and error %v, want %d", path, got.status, got.body, got.err, want)
				}
			}
		})
	}
}

// firstBroken gives a broken answer to the first request, and leaves the others to another handler.
type firstBroken struct {
	answer http.Handler
	then   http.Handler
	begun  atomic.Bool
}

// ServeHTTP implements http.Handler.
func (b *firstBroken) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.begun.Swap(true) {
		b.then.ServeHTTP(w, r)
		return
	}
	b.answer.ServeHTTP(w, r)
}
