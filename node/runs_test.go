package node_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// An engine crashes in the middle of a stream and starts again under its id, at another
// address, before the list has shown that it was gone. It holds nothing until it is ordered
// to. The caller gets every event once, and the node serves on over the new run.
func TestEngineStartsAgainUnderItsID(t *testing.T) {
	for _, victim := range []string{"e1", "e2", "e3", "e4"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			n := s.startNode("n1", s.storeAddress)
			n.awaitServing(t)
			rest, begun := startStream(t, n, "s1", 3)
			for range 2 {
				s.killEngine(victim)
				s.startEngine(victim)
			}
			ended, err := io.ReadAll(rest)
			if err != nil {
				t.Fatalf("got error %v after %q", err, ended)
			}
			if got, want := begun+string(ended), wholeStream(longPath); got != want {
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
