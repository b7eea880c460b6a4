package peering

import (
	"reflect"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// A node that was cut off learns from a peer which requests end upstreams.
func TestAsksForQuarantined(t *testing.T) {
	want := []dispatch.Quarantined{{Work: work.ID{}.ForAccount("a"), Age: 1200}, {Work: work.ID{}.ForAccount("b"), Ended: []fleet.Incarnation{fleet.NewIncarnation("e1", 17), fleet.IncarnationByID("e2")}}}
	knowing, asking := &fakeNode{quarantined: want}, &fakeNode{}
	_, peer := newFakePeer(t, "knowing", knowing, clocktest.NewClock())
	p, _ := newFakePeer(t, "asking", asking, clocktest.NewClock())
	p.QueryQuarantined(t.Context(), peer)
	if got := asking.receivedQuarantined; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if asking.receivedConfirmed != 0 {
		t.Errorf("got a configuration confirmed at %d, want none", asking.receivedConfirmed)
	}
}
