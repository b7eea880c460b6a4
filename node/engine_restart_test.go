package node_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// Guards against lost or repeated events if an engine crashes during a stream and restarts under
// its id at another address before the list shows the crash. The restarted engine holds no
// layers until it gets an order. The node must continue to serve with the new incarnation.
func TestEngineRestartsWithSameID(t *testing.T) {
	for _, victim := range []string{"e1", "e2", "e3", "e4"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			n := s.startNode("n1", s.storeAddress)
			n.awaitServing(t)
			body, first := startStream(t, n, "s1", 3)
			for range 2 {
				s.killEngine(victim)
				s.startEngine(victim)
			}
			rest, err := io.ReadAll(body)
			if err != nil {
				t.Fatalf("got error %v after %q", err, rest)
			}
			if got, want := first+string(rest), wholeStream(longPath); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			others := []string{"e1", "e2", "e3", "e4"}
			for _, other := range others {
				if other != victim {
					s.killEngine(other)
					s.startEngine(other)
				}
			}
			n.awaitServing(t)
			for i := range 3 {
				got := n.do(http.MethodPost, longPath, fmt.Sprint("after-", i), "k1")
				if got.status == http.StatusOK && got.body != wholeStream(longPath) {
					t.Errorf("got %q, want %q", got.body, wholeStream(longPath))
				}
			}
		})
	}
}
