package node_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/standin"
)

const longPath = "/write/a-path-whose-length-makes-a-long-stream"

func TestServes(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	n := s.startNode("n1", s.storeAddress)
	n.awaitServing(t)
	tests := []struct {
		name, method, path, key string
		status                  int
		body                    string
	}{
		{"stream", http.MethodPost, longPath, "k1", http.StatusOK, wholeStream(longPath)},
		{"once", http.MethodPost, "/once/a", "k2", http.StatusOK, standin.PlainAnswer("/once/a")},
		{"read", http.MethodGet, "/read/a", "k1", http.StatusOK, standin.PlainAnswer("/read/a")},
		{"escaped path", http.MethodPost, "/once/a%2Fb?c=%20d", "k2", http.StatusOK, standin.PlainAnswer("/once/a/b")},
		{"no key", http.MethodPost, "/once/a", "", http.StatusUnauthorized, ""},
		{"wrong key", http.MethodPost, "/once/a", "k9", http.StatusUnauthorized, ""},
		{"no route", http.MethodPost, "/nowhere/a", "k1", http.StatusNotFound, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := n.do(tt.method, tt.path, tt.name, tt.key)
			if got.err != nil || got.status != tt.status {
				t.Fatalf("got status %d, %v, want %d", got.status, got.err, tt.status)
			}
			if tt.body != "" && got.body != tt.body {
				t.Errorf("got %q, want %q", got.body, tt.body)
			}
		})
	}
	if got, want := s.plainService.Executions()["once"].Account, standin.SiteAccount; got != want {
		t.Errorf("got account %q at the desk, want %q", got, want)
	}
}

// startStream begins a stream and reads some events of it.
func startStream(t *testing.T, n *testNode, id string, events int) (*bufio.Reader, string) {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	resp, err := transport.RoundTrip(n.request(http.MethodPost, longPath, id, "k1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	r := bufio.NewReader(resp.Body)
	var begun strings.Builder
	for range 3 * events {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		begun.WriteString(line)
	}
	return r, begun.String()
}

// Whichever engine dies in the middle of a stream, the caller gets every event
// once, in one answer.
func TestStreamOutlivesAnEngine(t *testing.T) {
	for _, victim := range []string{"e1", "e2", "e3", "e4"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			n := s.startNode("n1", s.storeAddress)
			n.awaitServing(t)
			rest, begun := startStream(t, n, "s1", 3)
			s.killEngine(victim)
			ended, err := io.ReadAll(rest)
			if err != nil {
				t.Fatalf("got error %v after %q", err, ended)
			}
			if got, want := begun+string(ended), wholeStream(longPath); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// A planned stop says that the node is not ready, and finishes what it has.
func TestPlannedStopFinishesStreams(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	n := s.startNode("n1", s.storeAddress)
	n.awaitServing(t)
	rest, begun := startStream(t, n, "s1", 2)
	go n.Drain()
	await(t, "refusal to be ready", func() bool { return !n.ready() })
	ended, err := io.ReadAll(rest)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := begun+string(ended), wholeStream(longPath); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if err := <-n.done; err != nil {
		t.Errorf("got error %v from the node, want none", err)
	}
}

// Without the store and without peers, requests with keys are refused, and
// have not run.
func TestKeysFailClosedWithoutTheStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	n := s.startNode("n1", s.storeAddress)
	await(t, "answer", func() bool { return n.do(http.MethodPost, "/once/a", "warm", "k1").status == http.StatusOK })
	s.store.SetFaults(standin.RowStoreFaults{Unresponsive: true})
	refused := ""
	await(t, "refusal", func() bool {
		refused += "x"
		return n.do(http.MethodPost, "/once/a", refused, "k1").status == http.StatusServiceUnavailable
	})
	if got := s.plainService.Executions()[refused].Executions; got != 0 {
		t.Errorf("got %d runs of a refused request, want 0", got)
	}
	await(t, "refusal to be ready", func() bool { return !n.ready() })
	s.store.SetFaults(standin.RowStoreFaults{})
	await(t, "answer", func() bool { return n.do(http.MethodPost, "/once/a", "after"+refused, "k1").status == http.StatusOK })
}

// A node that has lost the store goes on with what a peer vouches for, and
// takes newer configurations from there.
func TestPeerVouches(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	lost := standin.NewRowStore()
	lost.SetFaults(standin.RowStoreFaults{Down: true})
	n1 := s.startNode("n1", s.storeAddress)
	n2 := s.startNode("n2", s.serve(lost), n1.peerAddress)
	await(t, "answer", func() bool { return n2.do(http.MethodPost, "/once/a", "warm", "k1").status == http.StatusOK })
	s.store.Put("op", "config", standin.SiteConfig(2, "k1"))
	await(t, "refusal of a revoked key", func() bool {
		return n2.do(http.MethodPost, "/once/a", "revoked", "k2").status == http.StatusUnauthorized
	})
	if got, want := n2.do(http.MethodPost, "/once/a", "kept", "k1").status, http.StatusOK; got != want {
		t.Errorf("got %d with the key that was kept, want %d", got, want)
	}
}
