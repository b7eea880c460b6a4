package follow

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// peerListLifetime is how long a list received from a peer is valid. During an outage the node
// requests a new one within 1.2 s.
const peerListLifetime clock.Millis = 1000

// peerList is a list received from a peer.
type peerList struct {
	upstreams  []fleet.Upstream
	receivedAt clock.Millis
}

// AddPeerList records a list received from a peer. It is applied only while this node cannot
// reach the store.
func (f *Fleet) AddPeerList(list []fleet.Upstream) {
	f.peerList.Store(&peerList{upstreams: list, receivedAt: f.clock.Now()})
}

// applyPeerList applies the last list received from a peer once, if it is recent. Peers also
// send lists while this node reaches the store; those are not applied.
func (f *Fleet) applyPeerList(now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.peerList.Swap(nil); l != nil && now <= l.receivedAt.Add(peerListLifetime) {
		f.confirmedAt.Store(int64(l.receivedAt))
		changes := f.view.ApplyPeerList(now, l.upstreams)
		// Followers have not got these changes, and the next reading of the store will not
		// include them as changes.
		f.publishFull = f.publishFull || len(changes) > 0
		f.notify(changes, moment.Moment{})
	}
}
