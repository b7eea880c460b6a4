package peering

import (
	"context"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Guards against a node that takes the nodes which it has met so far for all: a peer's answer completes
// them only if the peer has compared its configuration and has read the registry. Without that a node
// that starts while the store is away would have to go without limits and slack until it is back.
func TestMembersAreCompleteByRegistryOrPeer(t *testing.T) {
	tests := []struct {
		name           string
		compared, read bool
		own            moment.Moment
		want           bool
	}{
		{"peer that has read the registry", true, true, moment.At(1, 7), true},
		{"peer that has not", true, false, moment.Moment{}, false},
		{"peer that vouches unread, as at a first start", true, false, moment.At(1, 7), false},
		{"peer that has just started", false, true, moment.At(1, 7), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := clocktest.NewClock()
			peer, peerMember := newFakePeer(t, "peer", &fakeNode{raw: []byte("v5"), version: 5, confirmed: c.Now()}, c)
			peer.AddReported([]*wire.Member{member("third")})
			peer.comparison.done.Store(tt.compared)
			peer.comparison.registryRead.Store(tt.read)
			peer.comparison.doubt.setOwn(tt.own)
			node := &fakeNode{version: 5, confirmed: c.Now()}
			started, _ := newFakePeer(t, "started", node, c)
			started.query(context.Background(), peerMember, edition(5), false)
			if got := started.knowsMembers(); got != tt.want {
				t.Errorf("got members known %v, want %v", got, tt.want)
			}
			for _, m := range started.directory.others() {
				if m.GetVouched() != nil {
					t.Errorf("got an era of %s among the known nodes, want it in registrations alone", m.GetName())
				}
			}
		})
	}
	t.Run("registry", func(t *testing.T) {
		node := &fakeNode{}
		p := New(member("me"), nil, nil, node, node, clocktest.NewClock(), nil, nil, 1)
		p.comparison.registryRead.Store(true)
		if !p.knowsMembers() {
			t.Error("got members unknown, want them known by the registry")
		}
	})
}
