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

// post sends a request as it stands and returns the status and the reason.
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
		t.Fatalf("got %v, want an answer", err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(callkey.Outcome) + " " + resp.Header.Get(callkey.Reason)
}

func TestBadInputGetsAClearAnswer(t *testing.T) {
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
		{"priority no number", "/v1/completions", good, []string{callkey.Priority, "high"}, 400, "failed bad_request"},
		{"deadline below zero", "/v1/completions", good, []string{callkey.Deadline, "-1"}, 400, "failed bad_request"},
		{"priority out of range", "/v1/completions", good, []string{callkey.Priority, "10"}, 400, "failed bad_request"},
		{"key too long", "/v1/completions", good, []string{callkey.IdempotencyKey, strings.Repeat("k", 300)}, 400, "failed bad_request"},
		{"forged ticket", "/v1/completions", good, []string{callkey.IdempotencyKey, "hjt1-0000000000000001-1-0000000000000000", callkey.Try, "1"}, 502, "not_run owner_gone"},
		{"no such path", "/v2/x", good, nil, 404, " "},
		{"a good one after all that", "/v1/completions", good, nil, 200, "done "},
	} {
		status, got := post(t, address, c.path, c.body, c.headers...)
		if status != c.status || got != c.outcome {
			t.Errorf("%s: got %d %q, want %d %q", c.name, status, got, c.status, c.outcome)
		}
	}
}

// TestDroppedConnectionsDisturbNobody hangs up at each point of a request.
func TestDroppedConnectionsDisturbNobody(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithStages(testbed.Stages(2, slowEngine())...))
	address := bed.Nodes[0].CallerAddress()
	body := `{"model":"notices","prompt":"hola","max_tokens":50,"stream":true}`
	whole := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testbed.AccountKey("clinic"), len(body), body)
	for cut := 10; cut <= len(whole); cut += 40 {
		sendAndClose(t, address, whole[:cut], false)
	}
	for range 10 {
		sendAndClose(t, address, whole, true)
	}
	for range 20 {
		sendAndHold(t, address, whole[:len(whole)-5])
	}
	wantCorrect(t, runItems(bed, noticeRequests(10, 5)))
}

func sendAndClose(t *testing.T, address, text string, readFirst bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("got %v, want a connection", err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("got %v, want the text sent", err)
	}
	if readFirst {
		_, _ = bufio.NewReader(conn).ReadString('\n')
	}
}

// sendAndHold sends a part of a request and leaves the rest out until the test
// ends, as a slow body does.
func sendAndHold(t *testing.T, address, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("got %v, want a connection", err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("got %v, want the text sent", err)
	}
}

func TestOperatorsNeedAToken(t *testing.T) {
	bed := startTestbed(t)
	for _, path := range []string{"/debug/vars", "/debug/burn"} {
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(newGetRequest(t, bed.Nodes[0].AdminAddress(), path))
		if err != nil {
			t.Fatalf("got %v, want an answer", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("%s: got %d without a token, want %d", path, resp.StatusCode, http.StatusUnauthorized)
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
