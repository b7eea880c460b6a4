package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/testbed"
)

// A caller that has closed only its sending half of the connection counts as
// disconnected, but still reads. net/http ends a response normally when its handler
// returns, so such a caller received an empty 200 without a result, or a cut stream
// that appeared complete.
func TestHalfClosedCallerGetsNoCompleteResponse(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithNodes(1),
		testbed.WithStages(testbed.Stages(1, slowEngine())...), testbed.WithServices(1, 300*time.Millisecond))
	for _, tt := range []struct {
		name, path, body string
		streaming        bool
	}{
		{"service", "/v1/services/orders/confirm", `{"order":1}`, false},
		{"completion", "/v1/completions", `{"model":"notices","prompt":"hola","max_tokens":400}`, false},
		{"stream", "/v1/completions", `{"model":"notices","prompt":"hola","max_tokens":400,"stream":true}`, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", bed.Nodes[0].CallerAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
				tt.path, testbed.AccountKey("clinic"), len(tt.body), tt.body); err != nil {
				t.Fatal(err)
			}
			response := bufio.NewReader(conn)
			if tt.streaming {
				if _, err := response.Peek(1); err != nil {
					t.Fatal(err)
				}
			}
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(response, nil)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			// On a slow machine, the result may arrive before the half-close.
			hasOutcome := resp.Header.Get("Hoist-Outcome") != "" || bytes.Contains(body, []byte("event: outcome"))
			if err == nil && !hasOutcome {
				t.Errorf("got a complete response with status %d and %d bytes but without outcome, want an aborted one", resp.StatusCode, len(body))
			}
		})
	}
}
