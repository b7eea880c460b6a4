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

// resetRuns is the number of requests of each kind. Whether the node reads the reset or writes into it first is
// up to the kernel.
const resetRuns = 20

// Guards against an answer without a length of which an upstream sends a part and resets the connection, while
// the request is still being written. The failed write took the connection's error, the read that followed
// returned the regular end of the connection, and the caller got the part as a whole answer.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Seal: s\r\n"
	answers := map[string]string{
		"plain":   head + "Content-Type: text/plain\r\n\r\npart of the body",
		"empty":   head + "Content-Type: text/plain\r\n\r\n",
		"stream":  head + "Content-Type: text/event-stream\r\n\r\n" + eventsText(0, brokenStreamEvents),
		"failure": "HTTP/1.1 500 Internal Server Error\r\nTest-Seal: s\r\n\r\npart of the body",
		"1.0":     "HTTP/1.0 200 OK\r\nTest-Seal: s\r\n\r\npart of the body",
	}
	upload := strings.Repeat("u", uploadBytes)
	for name, answer := range answers {
		for _, kind := range []string{"read", "once", "tell", "write"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				_, address := newDialingTestRelay(t, brokenanswer.Reset(answer), zap.NewNop(), brokenanswer.Dial)
				for range resetRuns {
					if status, body := askWith(t, address, kind, upload); status == http.StatusOK || status == http.StatusInternalServerError {
						t.Errorf("got status %d with a whole body %q, want none of the upstream's answer", status, body)
					}
				}
			})
		}
	}
}
