package node_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

// dial opens a connection to a node that has not been used.
func (n *testNode) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// accepts reports whether a node accepts connections.
func (n *testNode) accepts() bool {
	conn, err := net.Dial("tcp", n.callerAddress)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Guards against a stopping node that takes a stream which outlasts it, here on a connection from
// before the stop: the client gets the beginning of an answer that was never to be completed.
func TestStoppingNodeRefusesWhatItCannotFinish(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	n := s.startNode("n1", s.storeAddress)
	n.awaitServing(t)
	for _, e := range s.engines {
		e.engine.SetSlowdown(20)
	}
	conn := n.dial(t)
	go n.Drain()
	await(t, "closed listener", func() bool { return !n.accepts() })
	if err := n.request(http.MethodPost, longPath, "late", "k1").Write(conn); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got := resp.Header.Get("Retry-After"); got == "" {
		t.Error("got no Retry-After, want one")
	}
	if !resp.Close {
		t.Error("got an answer that keeps the connection, want one that closes it")
	}
}

// Guards against a node that closes a connection at its end without having answered the request on
// it: the client can't tell whether it was received.
func TestStoppingNodeAnswersWhatItEnds(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.stopPlainService()
	s.graceSeconds = 1
	service := s.addSlowPlainService("desk2", 1500*time.Millisecond)
	n := s.startNode("n1", s.storeAddress)
	answers := n.startLateRequest(t, service)
	n.Drain()
	if got := <-answers; got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got status %d and error %v, want %d", got.status, got.err, http.StatusBadGateway)
	}
}

// startLateRequest waits until a node serves, sends it a request that may run once, and returns when the service runs
// it. The answer comes over the channel.
func (n *testNode) startLateRequest(t *testing.T, service *standin.PlainServer) <-chan response {
	t.Helper()
	await(t, "answer", func() bool { return n.do(http.MethodPost, "/once/a", "warm", "k1").status == http.StatusOK })
	answers := make(chan response, 1)
	go func() { answers <- n.do(http.MethodPost, "/once/b", "late", "k1") }()
	await(t, "execution", func() bool { return service.Executions()["late"].Executions == 1 })
	return answers
}
