package reading_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/internal/endless"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/reading"
)

// Guards against an answer without end of the followed node that costs memory without bound for as long as
// the call lasts, or that is taken for an answer.
func TestEndlessAnswersOfReaders(t *testing.T) {
	const (
		maxHeadRead = 64 << 10
		// maxBodyRead is the limit of an answer, and a buffer more.
		maxBodyRead = 16<<20 + 128<<10
		head        = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
		// unknownField is a field that the message does not have, which the library passes over.
		unknownField = "\xa0\x06\x01"
	)
	tests := []struct {
		name    string
		answer  endless.Answer
		maxRead int64
	}{
		{"header lines", endless.Answer{Head: "HTTP/1.1 200 OK\r\n", Repeat: "X: x\r\n"}, maxHeadRead},
		{"answers 1xx", endless.Answer{Repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"}, maxHeadRead},
		{"body without length", endless.Answer{Head: head + "\r\n", Repeat: unknownField}, maxBodyRead},
		{"body with length", endless.Answer{Head: head + "Content-Length: 99999999999\r\n\r\n", Repeat: unknownField}, maxBodyRead},
		{"chunks", endless.Answer{Head: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "c00\r\n" + strings.Repeat(unknownField, 1<<10) + "\r\n"}, maxBodyRead},
		{"slow body", endless.Answer{Head: head + "\r\n", Repeat: unknownField, Pause: time.Millisecond}, maxBodyRead},
		{"error", endless.Answer{Head: "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n{\"message\":\"", Repeat: "x"}, maxBodyRead},
		{"switched protocol", endless.Answer{Head: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"}, maxHeadRead},
	}
	calls := map[string]func(s *reading.Source) error{
		"configuration": func(s *reading.Source) error {
			_, err := s.AwaitCatalog(context.Background(), catalog.Edition{}, 10)
			return err
		},
		"list": func(s *reading.Source) error {
			_, err := s.AwaitUpstreams(context.Background(), moment.Moment{}, 10)
			return err
		},
	}
	for _, tt := range tests {
		for name, call := range calls {
			// The calls run one after another, since each read without bound before.
			t.Run(name+", "+tt.name, func(t *testing.T) {
				server, meter := endless.Serve(t, tt.answer), &endless.Meter{}
				transport := platform.NewPeerTransport(platform.WithDialer(meter.Dialer()))
				source := reading.NewSource(&http.Client{Transport: transport}, server.Address(), "self:80", testFirstRequestWait)
				if err := endless.Await(t, func() error { return call(source) }); err == nil {
					t.Error("got an answer, want an error")
				}
				server.AwaitClosed(t, 1)
				if got := meter.Most(); got > tt.maxRead {
					t.Errorf("got %d bytes read from one connection, want at most %d", got, tt.maxRead)
				}
			})
		}
	}
}
