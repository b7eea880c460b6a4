package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// An answer in HTTP/1.0 that has no length ends with its connection. One that was
// broken off was closed in good order, like a whole one, so a caller took part of a
// stream for all of it. Found by reading how net/http ends answers.
func TestOldCallerSeesThatAnAnswerBreaksOff(t *testing.T) {
	for _, tt := range []struct {
		name   string
		path   string
		script []outcome
		whole  bool
	}{
		{"stream that nobody takes up", "/write/a", []outcome{brokenStream, notFound}, false},
		{"stream that may not be taken up", "/tell/a", []outcome{brokenStream}, false},
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
			if (err == nil) != tt.whole {
				t.Errorf("got %d bytes and the end %v, want whole=%v", got, err, tt.whole)
			}
		})
	}
}

// readHTTP10Answer reads an answer to its end.
func readHTTP10Answer(conn net.Conn) (size int, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}
