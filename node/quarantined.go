package node

import (
	"encoding/binary"
	"math/bits"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// minQueryPause is after how long a node whose peer knows of other requests in
	// quarantine asks one again, and maxQueryPause bounds that: it doubles while answers
	// bring nothing new. An answer takes up to 100 KB, when all that is bounded is full.
	minQueryPause clock.Millis = 300
	maxQueryPause clock.Millis = 30_000
	// digestTTL is for how long a digest counts while nothing changes but ages. It is
	// asked for with each word of a peer, 200 times a second where 60 nodes are near.
	digestTTL clock.Millis = 1000
)

// quarantineSet is what the node tells others of requests in quarantine. It is safe for
// concurrent use.
type quarantineSet struct {
	clock    *clock.Clock
	duration clock.Millis
	mu       sync.Mutex
	entries  *simplelru.LRU[work.ID, quarantineEntry]
	// lastQuery is when a peer was last asked for what it knows, and pause the time until the
	// next question.
	lastQuery  clock.Millis
	queryPause clock.Millis
	// cachedDigest is the digest as of summed. It is asked for with each word of a peer.
	cachedDigest uint64
	digestAt     clock.Millis
}

// quarantineEntry is a request in quarantine.
type quarantineEntry struct {
	since clock.Millis
	// crashed are the upstreams that are thought to have ended under it; none where that is
	// certain.
	crashed []fleet.Incarnation
}

func newQuarantineSet(c *clock.Clock, lasts clock.Millis) *quarantineSet {
	works, err := simplelru.NewLRU[work.ID, quarantineEntry](quarantine.MaxQuarantined, nil)
	if err != nil {
		// Only a size below one is refused.
		panic(err)
	}
	return &quarantineSet{clock: c, duration: lasts, entries: works, lastQuery: clock.Never, queryPause: minQueryPause, digestAt: clock.Never}
}

// add notes a request, and that peers are worth asking again. It returns what is known of
// it now.
func (q *quarantineSet) add(w dispatch.Quarantined) dispatch.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	known, ok := q.entries.Peek(w.Work)
	if !ok {
		known = quarantineEntry{since: now.Sub(w.Age)}
	}
	known.crashed = w.Ended
	q.entries.Add(w.Work, known)
	q.queryPause, q.digestAt = minQueryPause, clock.Never
	return dispatch.Quarantined{Work: w.Work, Age: now.Sub(known.since), Ended: known.crashed}
}

// addConfirmed notes requests of which others know for certain, where that is news. Of what is not
// certain the relay decides.
func (q *quarantineSet) addConfirmed(list []dispatch.Quarantined) {
	for _, w := range list {
		if len(w.Ended) == 0 && !q.isConfirmed(w.Work) {
			q.add(w)
		}
	}
}

// isConfirmed tells whether a request is known for certain.
func (q *quarantineSet) isConfirmed(id work.ID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.entries.Peek(id)
	return ok && len(known.crashed) == 0
}

func (q *quarantineSet) remove(id work.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.entries.Remove(id)
	q.digestAt = clock.Never
}

// list returns all, with how long they have been in quarantine.
func (q *quarantineSet) list() []dispatch.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.listAt(q.clock.Now())
}

// listAt is list at a time. The caller holds the lock.
func (q *quarantineSet) listAt(now clock.Millis) []dispatch.Quarantined {
	var list []dispatch.Quarantined
	for _, id := range q.entries.Keys() {
		w, _ := q.entries.Peek(id)
		if age := now.Sub(w.since); age < q.duration {
			list = append(list, dispatch.Quarantined{Work: id, Age: age, Ended: w.crashed})
		}
	}
	return list
}

// count is how many there are, for the metrics.
func (q *quarantineSet) count() any { return len(q.list()) }

// digest stands for all in one number, in whatever order they came.
func (q *quarantineSet) digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now < q.digestAt.Add(digestTTL) {
		return q.cachedDigest
	}
	q.cachedDigest, q.digestAt = 0, now
	for _, w := range q.listAt(now) {
		one := binary.LittleEndian.Uint64(w.Work.Bytes())
		if len(w.Ended) > 0 {
			// What is not certain yet counts as something else.
			one = bits.RotateLeft64(one, 1)
		}
		q.cachedDigest ^= one
	}
	return q.cachedDigest
}

// shouldQuery tells whether a peer with a digest is to be asked for what it knows now.
func (q *quarantineSet) shouldQuery(digest uint64) bool {
	if digest == 0 || digest == q.digest() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now < q.lastQuery.Add(q.queryPause) {
		return false
	}
	q.lastQuery, q.queryPause = now, min(2*q.queryPause, maxQueryPause)
	return true
}

// handleQuarantineNews acts on what the relay has found out of requests that end upstreams.
func (n *Node) handleQuarantineNews(news quarantine.Event) {
	switch news := news.(type) {
	case quarantine.LossEvent:
		n.log.Info("lost", zap.Stringer("work", news.Work), zap.Stringer("upstream", news.Upstream))
		n.usage.SendCrash(news.Work, news.Upstream)
	case quarantine.QuarantinedEvent:
		n.log.Warn("quarantined", zap.Stringer("work", news.Work), zap.Stringers("ended", news.Crashed), zap.Bool("own", news.Local))
		n.addQuarantined(dispatch.Quarantined{Work: news.Work, Ended: news.Crashed}, news.Local)
	case quarantine.ConfirmedEvent:
		n.log.Info("quarantine_certain", zap.Stringer("work", news.Work), zap.Bool("own", news.Local))
		n.addQuarantined(dispatch.Quarantined{Work: news.Work}, news.Local)
	case quarantine.ClearedEvent:
		n.log.Info("cleared", zap.Stringer("work", news.Work), zap.Bool("own", news.Local), zap.Bool("quarantined", news.WasQuarantined))
		n.releaseQuarantined(news)
	}
}

// addQuarantined notes a request in quarantine for peers, and has it kept in the store by the nodes
// that have lost it: others would write the same hundreds of times.
func (n *Node) addQuarantined(w dispatch.Quarantined, own bool) {
	w = n.quarantined.add(w)
	if own {
		n.keeper.Keep(w)
	}
}

// releaseQuarantined takes a request out of quarantine that an upstream has answered.
func (n *Node) releaseQuarantined(news quarantine.ClearedEvent) {
	n.quarantined.remove(news.Work)
	if news.Local {
		n.usage.SendAnswered(news.Work)
	}
	if news.WasQuarantined && (news.Local || news.LostLocally) {
		n.keeper.Release(news.Work)
	}
}

// applyQuarantined takes requests in quarantine from the store or a peer.
func (n *Node) applyQuarantined(list []dispatch.Quarantined) {
	n.quarantined.addConfirmed(list)
	n.relay.UpdateQuarantine(list)
}

// compareQuarantine asks a peer for the requests that it knows to be in quarantine, where
// it has told that these are not those that this node knows. Nodes that were cut off, or
// have missed datagrams, know the same within a second or two.
func (n *Node) compareQuarantine(from *wire.Member, digest uint64) {
	if n.quarantined.shouldQuery(digest) {
		go n.peers.QueryQuarantined(n.ctx, from)
	}
}

// ReceiveCrash implements usage.Listener.
func (l usageListener) ReceiveCrash(id work.ID, upstream fleet.Incarnation) {
	l.node.observeIncarnation(upstream)
	l.node.relay.HandlePeerLoss(id, upstream)
}

// ReceiveAnswered implements usage.Listener.
func (l usageListener) ReceiveAnswered(id work.ID) { l.node.relay.HandlePeerAnswer(id) }

// Quarantined implements peering.LocalState.
func (k *localState) Quarantined() []dispatch.Quarantined { return k.node.quarantined.list() }

// ReceiveQuarantined implements peering.Receiver.
func (k *localState) ReceiveQuarantined(list []dispatch.Quarantined) { k.node.applyQuarantined(list) }
