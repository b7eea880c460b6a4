package httpanswer

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// checkInParts checks an answer that is read in parts of some size. It returns how much of it may be passed on.
func checkInParts(answer string, size int) (passed int, err error) {
	var h head
	for begin := 0; begin < len(answer); begin += size {
		n, err := h.check([]byte(answer[begin:min(begin+size, len(answer))]))
		passed += n
		if err != nil {
			return passed, err
		}
	}
	return passed, nil
}

// Guards against a check that depends on how an answer is cut into reads, or that goes on in the body.
func TestHeadInParts(t *testing.T) {
	const head = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 \xe4\r\nX_a-1: :v w\nEmpty:\r\n"
	for _, tt := range []struct {
		name, answer, passed string
	}{
		{"well-formed", head + "\r\nno: head here\r\n  \r\nX A: v\r\n", ""},
		{"interim answer without reason", "HTTP/1.0 100\n\nHTTP/1.0 204\n\n", ""},
		{"broken status", "HTTP/1.1 000 OK\r\n\r\nbody", "HTTP/1.1 000 OK\r\n"},
		{"broken status after an interim answer", "HTTP/1.1 100 \n\n\nHTTP/1.1 200 OK\n\n", "HTTP/1.1 100 \n\n\n"},
		{"broken name", head + "X A: v\r\n\r\n", head + "X A: v\r\n"},
		{"folded line", head + " v\r\n\r\n", head + " v\r\n"},
		{"line without a colon", head + "X\r\n\r\n", head + "X\r\n"},
		{"broken name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX A: v\r\n\r\n" + head, "HTTP/1.1 103 Early Hints\r\nX A: v\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for size := 1; size <= len(tt.answer); size++ {
				passed, err := checkInParts(tt.answer, size)
				if tt.passed == "" {
					if err != nil || passed != len(tt.answer) {
						t.Errorf("read by %d: got %d bytes and error %v, want %d and none", size, passed, err, len(tt.answer))
					}
					continue
				}
				if !errors.Is(err, ErrBrokenHead) || passed != len(tt.passed) {
					t.Errorf("read by %d: got %d bytes and error %v, want %d and %v", size, passed, err, len(tt.passed), ErrBrokenHead)
				}
			}
		})
	}
}

// Guards against a check that keeps lines after the head, for as long as the connection is kept.
func TestHeadKeepsNothing(t *testing.T) {
	var h head
	if _, err := h.check([]byte("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1000))); err != nil {
		t.Fatal(err)
	}
	if len(h.line) > 0 {
		t.Errorf("got %d bytes kept of the body, want none", len(h.line))
	}
}
