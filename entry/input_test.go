package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/callkey"
	"github.com/hoistjunction/hoistjunction/testbed"
)

// post sends a request with optional extra headers, without retries. It returns the
// status, and the outcome and reason separated by a space.
func post(t *testing.T, address, path, body string, headers ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testbed.AccountKey("clinic"))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatalf("send request: got error %v, want none", err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(callkey.Outcome) + " " + resp.Header.Get(callkey.Reason)
}

func TestBadInputGetsErrorResponse(t *testing.T) {
	bed := startTestbed(t)
	address := bed.Nodes[0].CallerAddress()
	good := `{"model":"notices","prompt":"hola","max_tokens":2}`
	for _, c := range []struct {
		name, path, body string
		headers          []string
		status           int
		outcome          string
	}{
		{"truncated JSON", "/v1/completions", good[:20], nil, 400, "failed bad_request"},
		{"no prompt", "/v1/completions", `{"model":"notices"}`, nil, 400, "failed bad_request"},
		{"too many tokens", "/v1/completions", `{"model":"notices","prompt":"x","max_tokens":99999}`, nil, 400, "failed bad_request"},
		{"unknown route", "/v1/completions", `{"model":"nothing","prompt":"x"}`, nil, 404, "failed no_route"},
		{"unknown service", "/v1/services/nothing/x", "{}", nil, 404, "failed no_route"},
		{"wrong key", "/v1/completions", good, []string{"Authorization", "Bearer wrong"}, 401, "failed unauthorized"},
		{"no key", "/v1/completions", good, []string{"Authorization", ""}, 401, "failed unauthorized"},
		{"body too large", "/v1/completions", strings.Repeat("x", 2<<20), nil, 413, "failed bad_request"},
		{"priority is not a number", "/v1/completions", good, []string{callkey.Priority, "high"}, 400, "failed bad_request"},
		{"negative deadline", "/v1/completions", good, []string{callkey.Deadline, "-1"}, 400, "failed bad_request"},
		{"priority out of range", "/v1/completions", good, []string{callkey.Priority, "10"}, 400, "failed bad_request"},
		{"key too long", "/v1/completions", good, []string{callkey.IdempotencyKey, strings.Repeat("k", 300)}, 400, "failed bad_request"},
		{"forged ticket", "/v1/completions", good, []string{callkey.IdempotencyKey, "hjt1-0000000000000001-1-0000000000000000", callkey.Try, "1"}, 502, "not_run owner_gone"},
		{"unknown path", "/v2/x", good, nil, 404, " "},
		{"valid request after the invalid ones", "/v1/completions", good, nil, 200, "done "},
	} {
		status, got := post(t, address, c.path, c.body, c.headers...)
		if status != c.status || got != c.outcome {
			t.Errorf("%s: got status %d and outcome %q, want status %d and outcome %q", c.name, status, got, c.status, c.outcome)
		}
	}
}

// TestDroppedConnectionsDoNotAffectOtherRequests closes connections at different
// points of a request, leaves others open halfway through the body, and checks that
// other requests get complete responses.
func TestDroppedConnectionsDoNotAffectOtherRequests(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithStages(testbed.Stages(2, slowEngine())...))
	address := bed.Nodes[0].CallerAddress()
	body := `{"model":"notices","prompt":"hola","max_tokens":50,"stream":true}`
	request := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testbed.AccountKey("clinic"), len(body), body)
	for cut := 10; cut <= len(request); cut += 40 {
		sendAndClose(t, address, request[:cut], false)
	}
	for range 10 {
		sendAndClose(t, address, request, true)
	}
	for range 20 {
		sendAndHold(t, address, request[:len(request)-5])
	}
	wantCorrect(t, runItems(bed, noticeRequests(10, 5)))
}

// sendAndClose sends a text on a new connection and closes it, optionally after the
// first line of the response has arrived.
func sendAndClose(t *testing.T, address, text string, readFirst bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("connect: got error %v, want none", err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("send request text: got error %v, want none", err)
	}
	if readFirst {
		_, _ = bufio.NewReader(conn).ReadString('\n')
	}
}

// sendAndHold sends a part of a request and keeps the connection open until the end of
// the test, like a client that sends its body slowly.
func sendAndHold(t *testing.T, address, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("connect: got error %v, want none", err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("send request text: got error %v, want none", err)
	}
}

func TestAdminPathsRequireToken(t *testing.T) {
	bed := startTestbed(t)
	for _, path := range []string{"/debug/vars", "/debug/burn"} {
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(newGetRequest(t, bed.Nodes[0].AdminAddress(), path))
		if err != nil {
			t.Fatalf("send request: got error %v, want none", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("%s: got status %d without a token, want %d", path, resp.StatusCode, http.StatusUnauthorized)
		}
	}
}

func newGetRequest(t *testing.T, address, path string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return req
}
