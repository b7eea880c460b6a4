package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/callkey"
	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/testbed"
)

// Guards against an entry node that ends a planned stop while a client sends a request on a connection
// from before: the node reads the whole request and closes the connection without an answer.
func TestEndingNodeAnswersRequestOnKeptConnection(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithNodes(1), testbed.WithServices(1, time.Millisecond))
	address := bed.Nodes[0].CallerAddress()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	const body = `{"order":1}`
	if _, err := fmt.Fprintf(conn, "POST /v1/services/orders/confirm HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testbed.AccountKey("clinic"), len(body), body[:1]); err != nil {
		t.Fatal(err)
	}
	bed.Nodes[0].Drain()
	for accepts := true; accepts; time.Sleep(time.Millisecond) {
		if probe, err := net.Dial("tcp", address); err != nil {
			accepts = false
		} else {
			_ = probe.Close()
		}
	}
	if _, err := conn.Write([]byte(body[1:])); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got error %v, want an answer", err)
	}
	_ = resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := resp.Header.Get(callkey.Outcome), outcome.NotExecuted.String(); got != want {
		t.Errorf("got outcome %q, want %q", got, want)
	}
}
