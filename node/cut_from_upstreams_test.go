package node_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/hoistjunction/hoistjunction/node"
)

const (
	// requestsAfterCut is the number of requests of each route that are sent after a cut, one after
	// the other. The first ones may fail, while the node has not noticed the cut.
	requestsAfterCut = 24
	firstRequests    = 8
)

// Guards against a node that refuses its callers' requests because it reaches no upstream itself,
// although another node reaches them all.
func TestCutNodeServesThroughAnother(t *testing.T) {
	tests := []struct {
		name string
		cut  linkCut
	}{
		{"silent", linksSilent},
		{"reset", linksReset},
		{"new connections refused", linksRefuseNew},
		{"one way", linksOneWay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			links := newUpstreamLinks()
			cut := s.startNodeWith("n1", s.storeAddress, []node.Option{node.WithUpstreamDialer(links.DialContext)})
			sound := s.startNode("n2", s.storeAddress, cut.peerAddress)
			cut.awaitServing(t)
			sound.awaitServing(t)
			await(t, "nodes that know each other", func() bool { return cut.PeerCount() == 1 && sound.PeerCount() == 1 })
			links.set(tt.cut)
			for _, path := range []string{"/write/", "/read/", "/once/"} {
				for i := range requestsAfterCut {
					got := cut.do(methodFor(path), fmt.Sprintf("%sc%d", path, i), fmt.Sprintf("c%d", i), "k1")
					if i >= firstRequests && (got.err != nil || got.status != http.StatusOK) {
						t.Errorf("request %d for %s: got status %d, error %v, body %q, want 200", i, path, got.status, got.err, got.body)
					}
				}
			}
		})
	}
}

// methodFor returns the method of requests for a path of the stand-in site.
func methodFor(path string) string {
	if path == "/read/" {
		return http.MethodGet
	}
	return http.MethodPost
}
