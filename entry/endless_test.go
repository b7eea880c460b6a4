package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/endless"
	"github.com/hoistjunction/hoistjunction/logging"
)

const (
	// maxHeadRead and maxBodyRead bound what is read from a connection whose answer has no end in its head or in
	// its body: the limits of the client and buffers more.
	maxHeadRead = 128 << 10
	maxBodyRead = maxServiceResponseBytes + 128<<10
	// maxAhead bounds what the buffers of a connection hold beyond what has been taken from them.
	maxAhead = 16 << 20
	// endlessCallTime bounds a call, in ms.
	endlessCallTime = 500
)

// Guards against an answer of a plain service without an end that costs memory without bound, is taken for a
// whole one, or keeps its call beyond the call's time. A head of up to 10 MiB was kept, and an answer that switches
// to another protocol for as long as the service kept the connection.
func TestEndlessServiceAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	const switched = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	const trickle = 2 * time.Millisecond
	for _, tt := range []struct {
		name    string
		answer  endless.Answer
		maxRead int64
	}{
		{"status line", endless.Answer{Head: "HTTP/1.1 200 ", Repeat: "O"}, maxHeadRead},
		{"no status line", endless.Answer{Repeat: "\x00"}, maxHeadRead},
		{"header line", endless.Answer{Head: head + "X: ", Repeat: "x"}, maxHeadRead},
		{"header lines", endless.Answer{Head: head, Repeat: "X-Line: x\r\n"}, maxHeadRead},
		{"slow header lines", endless.Answer{Head: head, Repeat: "X-Line: x\r\n", Pause: trickle}, maxHeadRead},
		{"answers 1xx", endless.Answer{Repeat: "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n"}, maxHeadRead},
		{"body with length", endless.Answer{Head: head + "Content-Length: 99999999999\r\n\r\n", Repeat: "x"}, maxBodyRead},
		{"body without length", endless.Answer{Head: head + "\r\n", Repeat: "x"}, maxBodyRead},
		{"slow body without length", endless.Answer{Head: head + "\r\n", Repeat: "x", Pause: trickle}, maxBodyRead},
		{"chunks", endless.Answer{Head: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"}, maxBodyRead},
		{"trailers", endless.Answer{Head: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "X: x\r\n"}, maxBodyRead},
		{"switched protocol", endless.Answer{Head: switched, Repeat: "x"}, maxHeadRead},
		{"slow switched protocol", endless.Answer{Head: switched, Repeat: "x", Pause: trickle}, maxHeadRead},
		{"switched protocol that stays open", endless.Answer{Head: switched}, maxHeadRead},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server, meter := endless.Serve(t, tt.answer), &endless.Meter{}
			c := newServiceCaller(logging.Nop(), func(core.Msg) {}, withServiceDialer(meter.Dialer()))
			defer c.close()
			cmd := &core.CallCmd{Request: 1, Attempt: 1, Address: server.Address(), Path: "/confirm", NoRepeat: true, Timeout: endlessCallTime}
			got := endless.Await(t, func() core.Msg { return c.attempt(cmd) })
			if want := (core.CallFailedMsg{Request: 1, Attempt: 1}); got != core.Msg(want) {
				t.Errorf("got %T, want %#v", got, want)
			}
			server.AwaitClosed(t, server.Requests())
			if got := meter.Most(); got > tt.maxRead {
				t.Errorf("got %d bytes read from one connection, want at most %d", got, tt.maxRead)
			}
		})
	}
}

// Guards against an answer of another entry node without an end that costs memory without bound, in a message
// or after it.
func TestEndlessPeerAnswers(t *testing.T) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	for _, tt := range []struct {
		name, contentType, begin string
	}{
		{"fetch", "application/proto", ""},
		{"relay", "application/connect+proto", "\x00\xff\xff\xff\xff"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", tt.contentType)
				data := []byte(tt.begin + strings.Repeat("x", 32<<10))
				for {
					if _, err := w.Write(data); err != nil {
						return
					}
				}
			}))
			server.Config.Protocols = protocols
			server.Start()
			defer server.Close()
			meter := &endless.Meter{}
			messages := make(chan core.Msg, 1)
			p := newPeerCaller(nil, "", logging.Nop(), func(m core.Msg) { messages <- m }, withPeerDialer(meter.Dialer()))
			defer p.close()
			address := server.Listener.Addr().String()
			endless.Await(t, func() core.Msg {
				if tt.name == "fetch" {
					p.fetchChanges(&core.FetchChangesCmd{Address: address})
				} else {
					p.relay(&core.RelayCmd{Request: 1, Address: address, Deadline: 2000})
				}
				return <-messages
			})
			if got, want := meter.Most(), int64(maxPeerResponseBytes+maxAhead); got > want {
				t.Errorf("got %d bytes read from one connection, want at most %d", got, want)
			}
		})
	}
}
