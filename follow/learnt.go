package follow

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// peerListLifetime is for how long a list counts that a peer has told. It is asked for
// again within 1.2 s while the store is away.
const peerListLifetime clock.Millis = 1000

// peerList is a list that a peer has told at a time.
type peerList struct {
	upstreams  []fleet.Upstream
	receivedAt clock.Millis
}

// AddPeerList takes a list from a peer. It counts only while this node has lost the
// store itself.
func (f *Fleet) AddPeerList(list []fleet.Upstream) {
	f.peerList.Store(&peerList{upstreams: list, receivedAt: f.clock.Now()})
}

// applyPeerList takes the list that a peer has told last, once, if it is recent: peers
// also answer while this node has the store, and nobody takes their lists then.
func (f *Fleet) applyPeerList(now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.peerList.Swap(nil); l != nil && now <= l.receivedAt.Add(peerListLifetime) {
		f.confirmedAt.Store(int64(l.receivedAt))
		changes := f.view.ApplyPeerList(now, l.upstreams)
		// Those that follow have not been told of it, and the store's next answer will
		// show it as nothing new.
		f.publishFull = f.publishFull || len(changes) > 0
		f.notify(changes, moment.Moment{})
	}
}
