package follow

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// learntLasts is for how long a list counts that a peer has told. It is asked for
// again within 1.2 s while the store is away.
const learntLasts clock.Millis = 1000

// learntList is a list that a peer has told at a time.
type learntList struct {
	upstreams []fleet.Upstream
	at        clock.Millis
}

// Learn takes a list from a peer. It counts only while this node has lost the
// store itself.
func (f *Fleet) Learn(list []fleet.Upstream) {
	f.learnt.Store(&learntList{upstreams: list, at: f.clock.Now()})
}

// takeLearnt takes the list that a peer has told last, once, if it is recent: peers
// also answer while this node has the store, and nobody takes their lists then.
func (f *Fleet) takeLearnt(now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.learnt.Swap(nil); l != nil && now <= l.at.Add(learntLasts) {
		f.confirmed.Store(int64(l.at))
		changes := f.view.ApplyPeerList(now, l.upstreams)
		// Those that follow have not been told of it, and the store's next answer will
		// show it as nothing new.
		f.inDoubt = f.inDoubt || len(changes) > 0
		f.pass(changes, moment.Moment{})
	}
}
