package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// cutHeadUpstream answers each request with the beginning of an answer and closes the connection.
type cutHeadUpstream struct{ answer string }

// ServeHTTP implements http.Handler.
func (u cutHeadUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	// The client may have closed the connection already.
	_, _ = io.WriteString(conn, u.answer)
	_ = conn.Close()
}

// Guards against an upstream that stops in the middle of its answer's head: what has arrived must not reach a client
// as a whole answer with an empty or short body.
func TestAnswerCutInItsHeadIsNotWhole(t *testing.T) {
	const seal = "Test-Seal: s\r\n"
	heads := []string{
		"HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + seal + "\r\n",
		"HTTP/1.1 200 OK\r\n" + seal + "Content-Type: text/plain\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + seal + "\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 204 No Content\r\n" + seal + "\r\n",
		"HTTP/1.0 200 OK\r\n" + seal + "\r\n",
		"HTTP/1.1 200 OK\n" + strings.ReplaceAll(seal, "\r", "") + "Content-Length: 0\n\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + seal + "\r\n",
	}
	for _, kind := range []string{"read", "once", "tell", "write"} {
		for h, head := range heads {
			t.Run(fmt.Sprint(kind, " ", h), func(t *testing.T) {
				t.Parallel()
				for n := range len(head) {
					if status, body := askCutHead(t, kind, head[:n]); status/100 == 2 {
						t.Errorf("%q: got status %d with a whole body %q, want no success", head[:n], status, body)
					}
				}
			})
		}
	}
}

// Guards against a test that finds no success because it never asks.
func TestAnswerWithItsWholeHeadIsWhole(t *testing.T) {
	status, body := askCutHead(t, "read", "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nContent-Length: 1\r\n\r\na")
	if status != http.StatusOK || body != "a" {
		t.Errorf("got status %d and body %q, want 200 and a", status, body)
	}
}

// askCutHead asks for an answer of which only the beginning comes. It returns the status and the body; zero if
// the answer was broken off.
func askCutHead(t *testing.T, kind, beginning string) (status int, body string) {
	t.Helper()
	_, address := newTestRelay(t, cutHeadUpstream{answer: beginning})
	return askWith(t, address, kind, "b")
}

// askWith sends a request with a body on a route of some kind. It returns the status and the body of the answer; zero if the
// answer was broken off.
func askWith(t *testing.T, address, kind, request string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+kind+"/x", strings.NewReader(request))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}
