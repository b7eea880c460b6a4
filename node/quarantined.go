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
	// firstCompare is after how long a node whose peer knows of other requests in
	// quarantine asks one again, and longestCompare bounds that: it doubles while answers
	// bring nothing new. An answer takes up to 100 KB, when all that is bounded is full.
	firstCompare   clock.Millis = 300
	longestCompare clock.Millis = 30_000
	// digestLasts is for how long a digest counts while nothing changes but ages. It is
	// asked for with each word of a peer, 200 times a second where 60 nodes are near.
	digestLasts clock.Millis = 1000
)

// quarantined is what the node tells others of requests in quarantine. It is safe for
// concurrent use.
type quarantined struct {
	clock *clock.Clock
	lasts clock.Millis
	mu    sync.Mutex
	works *simplelru.LRU[work.ID, quarantinedWork]
	// asked is when a peer was last asked for what it knows, and pause the time until the
	// next question.
	asked clock.Millis
	pause clock.Millis
	// sum is the digest as of summed. It is asked for with each word of a peer.
	sum    uint64
	summed clock.Millis
}

// quarantinedWork is a request in quarantine.
type quarantinedWork struct {
	since clock.Millis
	// ended are the upstreams that are thought to have ended under it; none where that is
	// certain.
	ended []fleet.Incarnation
}

func newQuarantined(c *clock.Clock, lasts clock.Millis) *quarantined {
	works, err := simplelru.NewLRU[work.ID, quarantinedWork](quarantine.MaxQuarantined, nil)
	if err != nil {
		// Only a size below one is refused.
		panic(err)
	}
	return &quarantined{clock: c, lasts: lasts, works: works, asked: clock.Never, pause: firstCompare, summed: clock.Never}
}

// add notes a request, and that peers are worth asking again. It returns what is known of
// it now.
func (q *quarantined) add(w dispatch.Quarantined) dispatch.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	known, ok := q.works.Peek(w.Work)
	if !ok {
		known = quarantinedWork{since: now.Sub(w.Age)}
	}
	known.ended = w.Ended
	q.works.Add(w.Work, known)
	q.pause, q.summed = firstCompare, clock.Never
	return dispatch.Quarantined{Work: w.Work, Age: now.Sub(known.since), Ended: known.ended}
}

// learn notes requests of which others know for certain, where that is news. Of what is not
// certain the relay decides.
func (q *quarantined) learn(list []dispatch.Quarantined) {
	for _, w := range list {
		if len(w.Ended) == 0 && !q.knows(w.Work) {
			q.add(w)
		}
	}
}

// knows tells whether a request is known for certain.
func (q *quarantined) knows(id work.ID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.works.Peek(id)
	return ok && len(known.ended) == 0
}

func (q *quarantined) remove(id work.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.works.Remove(id)
	q.summed = clock.Never
}

// list returns all, with how long they have been in quarantine.
func (q *quarantined) list() []dispatch.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.listAt(q.clock.Now())
}

// listAt is list at a time. The caller holds the lock.
func (q *quarantined) listAt(now clock.Millis) []dispatch.Quarantined {
	var list []dispatch.Quarantined
	for _, id := range q.works.Keys() {
		w, _ := q.works.Peek(id)
		if age := now.Sub(w.since); age < q.lasts {
			list = append(list, dispatch.Quarantined{Work: id, Age: age, Ended: w.ended})
		}
	}
	return list
}

// count is how many there are, for the metrics.
func (q *quarantined) count() any { return len(q.list()) }

// digest stands for all in one number, in whatever order they came.
func (q *quarantined) digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now < q.summed.Add(digestLasts) {
		return q.sum
	}
	q.sum, q.summed = 0, now
	for _, w := range q.listAt(now) {
		one := binary.LittleEndian.Uint64(w.Work.Bytes())
		if len(w.Ended) > 0 {
			// What is not certain yet counts as something else.
			one = bits.RotateLeft64(one, 1)
		}
		q.sum ^= one
	}
	return q.sum
}

// differs tells whether a peer with a digest is to be asked for what it knows now.
func (q *quarantined) differs(digest uint64) bool {
	if digest == 0 || digest == q.digest() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now < q.asked.Add(q.pause) {
		return false
	}
	q.asked, q.pause = now, min(2*q.pause, longestCompare)
	return true
}

// setQuarantine acts on what the relay has found out of requests that end upstreams.
func (n *Node) setQuarantine(news quarantine.News) {
	switch news := news.(type) {
	case quarantine.LossNews:
		n.log.Info("lost", zap.Stringer("work", news.Work), zap.Stringer("upstream", news.Upstream))
		n.usage.Lost(news.Work, news.Upstream)
	case quarantine.QuarantinedNews:
		n.log.Warn("quarantined", zap.Stringer("work", news.Work), zap.Stringers("ended", news.Ended), zap.Bool("own", news.Local))
		n.keep(dispatch.Quarantined{Work: news.Work, Ended: news.Ended}, news.Local)
	case quarantine.ConfirmedNews:
		n.log.Info("quarantine_certain", zap.Stringer("work", news.Work), zap.Bool("own", news.Local))
		n.keep(dispatch.Quarantined{Work: news.Work}, news.Local)
	case quarantine.ClearedNews:
		n.log.Info("cleared", zap.Stringer("work", news.Work), zap.Bool("own", news.Local), zap.Bool("quarantined", news.WasQuarantined))
		n.clear(news)
	}
}

// keep notes a request in quarantine for peers, and has it kept in the store by the nodes
// that have lost it: others would write the same hundreds of times.
func (n *Node) keep(w dispatch.Quarantined, own bool) {
	w = n.quarantined.add(w)
	if own {
		n.keeper.Keep(w)
	}
}

// clear takes a request out of quarantine that an upstream has answered.
func (n *Node) clear(news quarantine.ClearedNews) {
	n.quarantined.remove(news.Work)
	if news.Local {
		n.usage.Answered(news.Work)
	}
	if news.WasQuarantined && (news.Local || news.LostLocally) {
		n.keeper.Release(news.Work)
	}
}

// learnQuarantined takes requests in quarantine from the store or a peer.
func (n *Node) learnQuarantined(list []dispatch.Quarantined) {
	n.quarantined.learn(list)
	n.relay.UpdateQuarantine(list)
}

// compareQuarantine asks a peer for the requests that it knows to be in quarantine, where
// it has told that these are not those that this node knows. Nodes that were cut off, or
// have missed datagrams, know the same within a second or two.
func (n *Node) compareQuarantine(from *wire.Member, digest uint64) {
	if n.quarantined.differs(digest) {
		go n.peers.AskQuarantined(n.life, from)
	}
}

// HearLost implements usage.Listener.
func (l listener) HearLost(id work.ID, upstream fleet.Incarnation) {
	l.node.meet(upstream)
	l.node.relay.HandlePeerLoss(id, upstream)
}

// HearAnswered implements usage.Listener.
func (l listener) HearAnswered(id work.ID) { l.node.relay.HandlePeerAnswer(id) }

// Quarantined implements peering.Knowledge.
func (k *known) Quarantined() []dispatch.Quarantined { return k.node.quarantined.list() }

// LearnQuarantined implements peering.Learner.
func (k *known) LearnQuarantined(list []dispatch.Quarantined) { k.node.learnQuarantined(list) }
