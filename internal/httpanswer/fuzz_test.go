package httpanswer

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/internal/brokenanswer"
)

// FuzzHead checks that an answer is judged alike however it is cut into reads, and that one that passes has a valid
// status and valid names if net/http takes it.
func FuzzHead(f *testing.F) {
	for _, answers := range []map[string]brokenanswer.Answer{brokenanswer.InvalidStatuses("b", "X: y"), brokenanswer.InvalidFieldNames("b", "X: y")} {
		for _, answer := range answers {
			f.Add(string(answer), uint8(7))
		}
	}
	f.Add("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb", uint8(3))
	f.Fuzz(func(t *testing.T, answer string, size uint8) {
		whole, wholeErr := checkInParts(answer, len(answer)+1)
		parts, partsErr := checkInParts(answer, int(size)+1)
		if whole != parts || (wholeErr == nil) != (partsErr == nil) {
			t.Fatalf("got %d bytes and error %v at once, %d and %v by %d", whole, wholeErr, parts, partsErr, int(size)+1)
		}
		if wholeErr != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode < http.StatusContinue || resp.StatusCode > 599 {
			t.Errorf("got status %d, want a valid one", resp.StatusCode)
		}
		for name := range resp.Header {
			if strings.Trim(name, fieldNameChars) != "" {
				t.Errorf("got name %q, want a valid one", name)
			}
		}
	})
}
