package peering

import (
	"reflect"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// A node that was partitioned gets the requests that crash upstreams from a peer.
func TestQueryQuarantined(t *testing.T) {
	want := []dispatch.Quarantined{{Work: work.ID{}.ForAccount("a"), Age: 1200}, {Work: work.ID{}.ForAccount("b"), Ended: []fleet.Incarnation{fleet.NewIncarnation("e1", 17), fleet.IncarnationByID("e2")}}}
	peerNode, node := &fakeNode{quarantined: want}, &fakeNode{}
	_, peer := newFakePeer(t, "knowing", peerNode, clocktest.NewClock())
	p, _ := newFakePeer(t, "asking", node, clocktest.NewClock())
	p.QueryQuarantined(t.Context(), peer)
	if got := node.receivedQuarantined; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if node.receivedConfirmed != 0 {
		t.Errorf("got a configuration confirmed at %d, want none", node.receivedConfirmed)
	}
}
