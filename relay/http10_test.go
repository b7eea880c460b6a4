package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// An HTTP/1.0 answer without a length ends with its connection. Aborted answers were closed
// regularly, like complete ones, so a caller took a truncated stream for a complete one.
func TestHTTP10CallerSeesAbortedAnswer(t *testing.T) {
	for _, tt := range []struct {
		name     string
		path     string
		script   []outcome
		complete bool
	}{
		{"stream that no upstream resumes", "/write/a", []outcome{brokenStream, notFound}, false},
		{"stream that may not be resumed", "/tell/a", []outcome{brokenStream}, false},
		{"large answer", "/read/a", []outcome{brokenLargeAnswer}, false},
		{"resumed stream", "/write/a", []outcome{brokenStream, wholeStream}, true},
		{"failure", "/once/a", []outcome{failure}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, address := newTestRelay(t, &scriptedUpstreams{script: tt.script})
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: h\r\n\r\n", tt.path); err != nil {
				t.Fatal(err)
			}
			got, err := readHTTP10Answer(conn)
			if (err == nil) != tt.complete {
				t.Errorf("got %d bytes and error %v, want complete=%v", got, err, tt.complete)
			}
		})
	}
}

// readHTTP10Answer reads an answer to its end and returns the size of the body.
func readHTTP10Answer(conn net.Conn) (size int, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}
