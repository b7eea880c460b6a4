package tablestore_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/endless"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// Guards against an answer of the store without an end that costs memory without bound, keeps a call beyond its
// time, or whose beginning counts as a whole object.
func TestEndlessAnswers(t *testing.T) {
	const maxHeadRead, maxBodyRead = 128 << 10, 64<<20 + 1<<20
	const callTime = 2 * time.Second
	const head = "HTTP/1.1 200 OK\r\n"
	const switched = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	for _, tt := range []struct {
		name    string
		answer  endless.Answer
		maxRead int64
	}{
		{"status line", endless.Answer{Head: "HTTP/1.1 200 ", Repeat: "O"}, maxHeadRead},
		{"header lines", endless.Answer{Head: head, Repeat: "X-Line: x\r\n"}, maxHeadRead},
		{"body without length", endless.Answer{Head: head + "\r\n", Repeat: "x"}, maxBodyRead},
		{"chunks", endless.Answer{Head: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"}, maxBodyRead},
		{"slow switched protocol", endless.Answer{Head: switched, Repeat: "x", Pause: time.Millisecond}, maxHeadRead},
		{"switched protocol that stays open", endless.Answer{Head: switched}, maxHeadRead},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server, meter := endless.Serve(t, tt.answer), &endless.Meter{}
			client := tablestore.NewClient(server.Address(), tablestore.WithDialer(meter.Dialer()), tablestore.WithTimeout(callTime))
			defer client.Close()
			if err := endless.Await(t, func() error { return readObject(client) }); !errors.Is(err, tablestore.ErrNoResponse) {
				t.Errorf("got error %v, want ErrNoResponse", err)
			}
			server.AwaitClosed(t, server.Requests())
			if got := meter.Most(); got > tt.maxRead {
				t.Errorf("got %d bytes read from one connection, want at most %d", got, tt.maxRead)
			}
		})
	}
}
