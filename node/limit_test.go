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

// Guards against nodes that exceed an upstream's advertised limit together. An upstream that had
// advertised 4.5 requests a second for all nodes got 42 in 4 s from the two nodes that had
// received the limit, and another that had advertised 4.2 got 49. Each was the only upstream of
// its data centre that could start a stream.
//
// The upstream status was read for back-off and leaving only, and no node knew the rate of all
// nodes: nodes exchanged their usage, not their rates. Reading the limit alone changed nothing
// in this test (28 streams and 409 plain requests in 4 s, as before); permits from one owner for
// each upstream kept it.
//
// In this test all upstreams of a service advertise a limit far below the request rate of three
// nodes.

const (
	// advertisedLimit is the limit of each upstream in requests a second from all nodes.
	advertisedLimit = 3.0
	// limitGrace is how long after it is first advertised a limit must be kept;
	// limitTestDuration is how long requests are sent.
	limitGrace        = 3 * time.Second
	limitTestDuration = 8 * time.Second
)

// limitAdvertiser is a stand-in that can advertise a limit.
type limitAdvertiser interface {
	SetAdvertisedLimit(f standin.LimitFaults)
	ReceivedRequests() []standin.ReceivedRequest
}

// nodeOfAttempt returns the node of an attempt, which is the first part of the attempt's id.
func nodeOfAttempt(id string) string {
	node, _, _ := strings.Cut(id, "-")
	return node
}

// noExemption exempts no node from the limit.
func noExemption(string, int64, int64) bool { return false }

func TestNodesShareAdvertisedLimit(t *testing.T) {
	for _, kind := range []struct {
		name, method, prefix string
	}{
		{"stream", http.MethodPost, "/write/"},
		{"plain, not repeatable", http.MethodPost, "/once/"},
		{"plain, repeatable", http.MethodGet, "/read/"},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			service := s.addPlainService("desk2")
			nodes := []*testNode{s.startNode("n1", s.storeAddress), s.startNode("n2", s.storeAddress), s.startNode("n3", s.storeAddress)}
			for _, n := range nodes {
				n.awaitServing(t)
			}
			upstreams := []limitAdvertiser{s.plainService, service, s.engines["e1"].engine, s.engines["e2"].engine}
			for _, u := range upstreams {
				u.SetAdvertisedLimit(standin.LimitFaults{Advertised: fmt.Sprint(advertisedLimit)})
			}
			sendRequests(t, nodes, kind.method, kind.prefix)
			visits := 0
			for _, u := range upstreams {
				visits += len(u.ReceivedRequests())
				for _, b := range standin.LimitBreaches(u.ReceivedRequests(), nodeOfAttempt, limitGrace, noExemption) {
					t.Errorf("got %d requests in 4 s at an upstream that advertises %v a second, nodes %v, want at most %d", b.Count, b.Limit, b.RequestsByNode, b.Allowed)
				}
			}
			if visits == 0 {
				t.Error("got no request at any upstream, want some")
			}
		})
	}
}

// sendRequests sends requests to the nodes for limitTestDuration, one at a time at each node.
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
