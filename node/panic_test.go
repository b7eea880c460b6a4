package node_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/node"
)

// Guards against a panic in a duty of the node that costs the callers more than it must: it ends the process,
// and each request in progress ended with its connection, without an answer.
func TestPanicEndsRequestsBeforeNode(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.stopPlainService()
	service := s.addSlowPlainService("desk2", 1500*time.Millisecond)
	n := s.startNode("n1", s.storeAddress)
	answers := n.startLateRequest(t, service)
	n.Panic()
	if got := <-answers; got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got status %d and error %v, want %d", got.status, got.err, http.StatusBadGateway)
	}
	if err := <-n.done; !errors.Is(err, node.ErrFailed) {
		t.Errorf("got error %v from the node, want %v", err, node.ErrFailed)
	}
}
