package relay

import (
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/internal/brokenanswer"
)

// uploadBytes is the size in bytes of a request that exceeds the buffers of its connection.
const uploadBytes = 3 << 20

// earlyAnswers returns answers without a length, of which the last part is missing.
func earlyAnswers() map[string]string {
	const head = "HTTP/1.1 200 OK\r\nTest-Seal: s\r\n"
	return map[string]string{
		"plain":   head + "Content-Type: text/plain\r\n\r\npart of the body",
		"empty":   head + "Content-Type: text/plain\r\n\r\n",
		"closing": head + "Connection: close\r\n\r\npart of the body",
		"stream":  head + "Content-Type: text/event-stream\r\n\r\n" + eventsText(0, brokenStreamEvents),
		"failure": "HTTP/1.1 500 Internal Server Error\r\nTest-Seal: s\r\n\r\npart of the body",
		"1.0":     "HTTP/1.0 200 OK\r\nTest-Seal: s\r\n\r\npart of the body",
	}
}

// checkNotWhole sends long requests on routes of each kind to upstreams that share a handler. None may get an
// answer of an upstream.
func checkNotWhole(t *testing.T, upstreams http.Handler) {
	t.Helper()
	// Whether the node reads the reset or writes into it first is up to the kernel.
	const runs = 20
	upload := strings.Repeat("u", uploadBytes)
	for _, kind := range []string{"read", "once", "tell", "write"} {
		t.Run(kind, func(t *testing.T) {
			_, address := newDialingTestRelay(t, upstreams, zap.NewNop(), brokenanswer.Dial)
			for range runs {
				if status, body := askWith(t, address, kind, upload); status == http.StatusOK || status == http.StatusInternalServerError {
					t.Errorf("got status %d with a whole body %q, want none of the upstream's answer", status, body)
				}
			}
		})
	}
}

// Guards against an answer without a length of which an upstream sends a part and resets the connection, while
// the request is still being written. The failed write took the connection's error, the read that followed
// returned the regular end of the connection, and the caller got the part as a whole answer.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	for name, answer := range earlyAnswers() {
		t.Run(name, func(t *testing.T) { checkNotWhole(t, brokenanswer.Reset(answer)) })
	}
}

// Guards against the same answer when the connection ends regularly before the reset: the end came before the
// request had been received.
func TestAnswerShutDownDuringUploadIsNotWhole(t *testing.T) {
	for name, answer := range earlyAnswers() {
		t.Run(name, func(t *testing.T) { checkNotWhole(t, brokenanswer.ShutDown(answer)) })
	}
}

// Guards against a whole answer without a length that is taken for a part of one, although its upstream has read
// the whole request.
func TestAnswerAfterUploadIsWhole(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	for _, kind := range []string{"read", "once"} {
		_, address := newDialingTestRelay(t, brokenanswer.Answer("HTTP/1.1 200 OK\r\nTest-Seal: s\r\n\r\nwhole"), zap.NewNop(), brokenanswer.Dial)
		if status, body := askWith(t, address, kind, upload); status != http.StatusOK || body != "whole" {
			t.Errorf("%s: got status %d and body %q, want 200 and the whole body", kind, status, body)
		}
	}
}
