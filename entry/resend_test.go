package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hoistjunction/hoistjunction/callkey"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/logging"
)

// resettingService answers the first request on each connection, reads the second in
// full, and breaks the connection without a word: the request may have run.
type resettingService struct {
	listener net.Listener
	requests atomic.Int64
	done     chan struct{}
}

func newResettingService(t *testing.T) *resettingService {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("got %v, want a port", err)
	}
	b := &resettingService{listener: l, done: make(chan struct{})}
	go b.acceptLoop()
	t.Cleanup(func() {
		_ = l.Close()
		<-b.done
	})
	return b
}

func (b *resettingService) acceptLoop() {
	defer close(b.done)
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.serve(conn)
	}
}

func (b *resettingService) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		b.requests.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func TestMarkedCallIsNotSentAgainByNetHTTP(t *testing.T) {
	b := newResettingService(t)
	c := newServiceCaller(logging.Nop(), func(core.Msg) {})
	defer c.close()
	call := func(request uint64) core.Msg {
		return c.attempt(&core.CallCmd{
			Request: request, Attempt: 1, Address: b.listener.Addr().String(), Path: "/confirm", Body: []byte("{}"),
			Key: "order-" + strconv.FormatUint(request, 10), NoRepeat: true, Timeout: 5000,
		})
	}
	if _, ok := call(1).(core.CallDoneMsg); !ok {
		t.Fatalf("got no answer to the first call, want one")
	}
	got := call(2)
	want := core.CallFailedMsg{Request: 2, Attempt: 1}
	if got != core.Msg(want) {
		t.Errorf("got %#v, want %#v", got, want)
	}
	if n := b.requests.Load(); n != 2 {
		t.Errorf("got %d requests at the service, want 2", n)
	}
}

// TestNetHTTPSendsAgainWhatLooksHarmless shows the trap that newServiceRequest
// avoids: the same call, under the key's usual name and with a body that can
// be rewound, reaches the service twice.
func TestNetHTTPSendsAgainWhatLooksHarmless(t *testing.T) {
	b := newResettingService(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range 2 {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
			"http://"+b.listener.Addr().String(), bytes.NewReader([]byte("{}")))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(callkey.IdempotencyKey, "order-1")
		resp, err := client.Do(req)
		if err != nil {
			t.Fatalf("got %v, want net/http to have sent it again", err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if n := b.requests.Load(); n != 3 {
		t.Errorf("got %d requests at the service for 2 calls, want 3", n)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("got %v, want a port", err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c := newServiceCaller(logging.Nop(), func(core.Msg) {})
	defer c.close()
	got := c.attempt(&core.CallCmd{Request: 1, Attempt: 1, Address: address, Path: "/", NoRepeat: true, Timeout: 1000})
	if want := (core.CallFailedMsg{Request: 1, Attempt: 1, NotSent: true}); got != core.Msg(want) {
		t.Errorf("got %#v, want %#v", got, want)
	}
}

func TestBearerTokenIsOnlyTakenWhole(t *testing.T) {
	operators := map[string]string{"ana": strings.Repeat("0", 64)}
	if name, ok := operatorByToken(operators, "guess"); ok {
		t.Errorf("got operator %q for a wrong token, want none", name)
	}
}
