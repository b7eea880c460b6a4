package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

// An upstream in need that had named 4.5 requests a second for all nodes together got 42 in
// 4 s from the two nodes that it had told, and another that had named 4.2 got 49. Each was
// the only one at its data centre that could begin a stream. No line of any node told of the
// limit, and each of them went on as before.
//
// What upstreams say of themselves was read for rest and leaving alone, and nothing kept a sum
// over nodes: they told each other what they had in use, not what they sent. Reading the limit
// changed nothing in this test (28 streams and 409 plain requests in 4 s, as before); keeping
// it by permits of one owner for each upstream did.
//
// Here all upstreams of a service name a limit that is far below what three nodes have for
// them.

const (
	// advertisedLimit is what each upstream takes, in requests a second from all nodes.
	advertisedLimit = 3.0
	// limitGrace is how long after it was named first a limit binds, and limitTestDuration for
	// how long requests come.
	limitGrace        = 3 * time.Second
	limitTestDuration = 8 * time.Second
)

// limitAdvertiser is a stand-in that can name a limit.
type limitAdvertiser interface {
	SetAdvertisedLimit(f standin.LimitFaults)
	ReceivedRequests() []standin.ReceivedRequest
}

// nodeOfAttempt is the node that a try was sent to: its name begins with it.
func nodeOfAttempt(id string) string {
	node, _, _ := strings.Cut(id, "-")
	return node
}

// noExemption is excused.
func noExemption(string, int64, int64) bool { return false }

func TestLimitIsKeptByAllNodesTogether(t *testing.T) {
	for _, kind := range []struct {
		name, method, prefix string
	}{
		{"stream", http.MethodPost, "/write/"},
		{"plain that may run once", http.MethodPost, "/once/"},
		{"plain that may be repeated", http.MethodGet, "/read/"},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			desk := s.addPlainService("desk2")
			nodes := []*testNode{s.startNode("n1", s.storeAddress), s.startNode("n2", s.storeAddress), s.startNode("n3", s.storeAddress)}
			for _, n := range nodes {
				n.awaitServing(t)
			}
			upstreams := []limitAdvertiser{s.plainService, desk, s.engines["e1"].engine, s.engines["e2"].engine}
			for _, u := range upstreams {
				u.SetAdvertisedLimit(standin.LimitFaults{Advertised: fmt.Sprint(advertisedLimit)})
			}
			sendRequests(t, nodes, kind.method, kind.prefix)
			visits := 0
			for _, u := range upstreams {
				visits += len(u.ReceivedRequests())
				for _, b := range standin.LimitBreaches(u.ReceivedRequests(), nodeOfAttempt, limitGrace, noExemption) {
					t.Errorf("got %d requests in 4 s at an upstream that takes %v a second, %v, want %d at most", b.Count, b.Limit, b.RequestsByNode, b.Allowed)
				}
			}
			if visits == 0 {
				t.Error("got no request at any upstream, want some")
			}
		})
	}
}

// sendRequests sends requests to nodes, one after the other at each, for limitTestDuration.
func sendRequests(t *testing.T, nodes []*testNode, method, prefix string) {
	t.Helper()
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() {
			k := 0
			for until := time.Now().Add(limitTestDuration); time.Now().Before(until); k++ {
				name := fmt.Sprintf("n%d-%d", i+1, k)
				if got := n.do(method, prefix+name, name, "k1"); got.err != nil {
					t.Errorf("got %v at request %s, want an answer", got.err, name)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
}
