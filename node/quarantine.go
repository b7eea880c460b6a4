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
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// minQueryPause is the first pause between two queries for a peer's quarantined requests.
	// The pause doubles while the digests still differ, up to maxQueryPause: an answer takes up
	// to 100 KB when all bounded lists are full.
	minQueryPause clock.Millis = 300
	maxQueryPause clock.Millis = 30_000
	// digestTTL is how long a cached digest is used if only the ages of entries change. The
	// digest is needed for each usage report of a peer, 200 times a second with 60 peers in the
	// data centre.
	digestTTL clock.Millis = 1000
)

// quarantineSet holds the quarantined requests that the node shares with peers. It is safe for
// concurrent use.
type quarantineSet struct {
	clock    *clock.Clock
	duration clock.Millis
	mu       sync.Mutex
	entries  *simplelru.LRU[work.ID, quarantineEntry]
	// lastQuery is the time of the last query to a peer; queryPause is the pause until the next
	// one.
	lastQuery  clock.Millis
	queryPause clock.Millis
	// cachedDigest is the digest at digestAt; the digest is needed for each usage report of a
	// peer.
	cachedDigest uint64
	digestAt     clock.Millis
}

// quarantineEntry is a quarantined request.
type quarantineEntry struct {
	since clock.Millis
	// crashed lists the upstreams that are suspected to have crashed under the request; it is
	// empty once the suspicion is confirmed.
	crashed []fleet.Incarnation
}

func newQuarantineSet(c *clock.Clock, lasts clock.Millis) *quarantineSet {
	works, err := simplelru.NewLRU[work.ID, quarantineEntry](quarantine.MaxQuarantined, nil)
	if err != nil {
		// NewLRU rejects only sizes below one.
		panic(err)
	}
	return &quarantineSet{clock: c, duration: lasts, entries: works, lastQuery: clock.Never, queryPause: minQueryPause, digestAt: clock.Never}
}

// add stores a request and resets the pause between queries. It returns the request with its
// age.
func (q *quarantineSet) add(w dispatch.Quarantined) dispatch.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	entry, ok := q.entries.Peek(w.Work)
	if !ok {
		entry = quarantineEntry{since: now.Sub(w.Age)}
	}
	entry.crashed = w.Ended
	q.entries.Add(w.Work, entry)
	q.queryPause, q.digestAt = minQueryPause, clock.Never
	return dispatch.Quarantined{Work: w.Work, Age: now.Sub(entry.since), Ended: entry.crashed}
}

// addConfirmed stores those confirmed requests of a list that are not known as confirmed yet.
// The relay decides about unconfirmed requests.
func (q *quarantineSet) addConfirmed(list []dispatch.Quarantined) {
	for _, w := range list {
		if len(w.Ended) == 0 && !q.isConfirmed(w.Work) {
			q.add(w)
		}
	}
}

// isConfirmed reports whether a request is in quarantine and confirmed.
func (q *quarantineSet) isConfirmed(id work.ID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry, ok := q.entries.Peek(id)
	return ok && len(entry.crashed) == 0
}

func (q *quarantineSet) remove(id work.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.entries.Remove(id)
	q.digestAt = clock.Never
}

// list returns all quarantined requests with their ages.
func (q *quarantineSet) list() []dispatch.Quarantined {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.listAt(q.clock.Now())
}

// listAt is list at a given time. The caller holds the lock.
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

// count returns the number of quarantined requests, for the metrics.
func (q *quarantineSet) count() any { return len(q.list()) }

// maxListedParts bounds the parts in the metrics.
const maxListedParts = 20

// parts returns the quarantined parts of prompts with their ages in ms, for the metrics.
func (q *quarantineSet) parts() any {
	ages := make(map[string]clock.Millis)
	for _, w := range q.list() {
		if w.Work.IsPart() && len(ages) < maxListedParts {
			ages[w.Work.String()] = w.Age
		}
	}
	return ages
}

// digest returns a hash of all quarantined requests that does not depend on their order.
func (q *quarantineSet) digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if now < q.digestAt.Add(digestTTL) {
		return q.cachedDigest
	}
	q.cachedDigest, q.digestAt = 0, now
	for _, w := range q.listAt(now) {
		sum := binary.LittleEndian.Uint64(w.Work.Bytes())
		if len(w.Ended) > 0 {
			// An unconfirmed request must differ from the same request once it is confirmed.
			sum = bits.RotateLeft64(sum, 1)
		}
		q.cachedDigest ^= sum
	}
	return q.cachedDigest
}

// shouldQuery reports whether a peer must be queried now because its digest differs from the
// local one.
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

// handleQuarantineEvent shares, stores or removes requests after the relay has decided about
// them.
func (n *Node) handleQuarantineEvent(news quarantine.Event) {
	switch news := news.(type) {
	case quarantine.LossEvent:
		n.log.Info("lost", zap.Stringer("work", news.Request.Content), zap.Stringers("parts", news.Request.Parts), zap.Stringer("upstream", news.Upstream), zap.Int64("age_ms", int64(news.Age)))
		n.usage.SendCrash(usage.Crash(news))
	case quarantine.ShareEvent:
		n.log.Info("part_share", zap.Stringer("work", news.Part), zap.Int("answers", news.Answers), zap.Int("requests", news.Requests))
		n.usage.SendPartShare(usage.PartShare{Part: news.Part, Answers: news.Answers, Requests: news.Requests})
	case quarantine.QuarantinedEvent:
		n.log.Warn("quarantined", zap.Stringer("work", news.Work), zap.Stringers("ended", news.Crashed), zap.Bool("own", news.Local))
		n.addQuarantined(dispatch.Quarantined{Work: news.Work, Ended: news.Crashed}, news.Local)
	case quarantine.ConfirmedEvent:
		n.log.Info("quarantine_certain", zap.Stringer("work", news.Work), zap.Bool("own", news.Local))
		n.addQuarantined(dispatch.Quarantined{Work: news.Work}, news.Local)
		if news.Local {
			n.usage.SendVerdict(usage.Verdict{Work: news.Work})
		}
	case quarantine.ClearedEvent:
		n.log.Info("cleared", zap.Stringer("work", news.Work), zap.Bool("own", news.Local), zap.Bool("quarantined", news.WasQuarantined))
		n.releaseQuarantined(news)
	}
}

// addQuarantined adds a request to the set that is shared with peers. Only a node on which the
// request has lost an upstream writes the request to the store; otherwise hundreds of nodes
// would write the same entry.
func (n *Node) addQuarantined(w dispatch.Quarantined, local bool) {
	w = n.quarantined.add(w)
	if local {
		n.keeper.Keep(w)
	}
}

// releaseQuarantined removes a request that an upstream has answered from quarantine.
func (n *Node) releaseQuarantined(news quarantine.ClearedEvent) {
	n.quarantined.remove(news.Work)
	if news.Local {
		n.usage.SendAnswered(news.Work)
	}
	if news.WasQuarantined && (news.Local || news.LostLocally) {
		n.keeper.Release(news.Work)
	}
}

// applyQuarantined adds quarantined requests that were read from the store or received from a
// peer.
func (n *Node) applyQuarantined(list []dispatch.Quarantined) {
	n.quarantined.addConfirmed(list)
	n.relay.UpdateQuarantine(list)
}

// compareQuarantine queries a peer for its quarantined requests if its digest differs from the
// local one. Nodes that were cut off or have missed datagrams have the same set within a second
// or two.
func (n *Node) compareQuarantine(from *wire.Member, digest uint64) {
	if n.quarantined.shouldQuery(digest) {
		go n.panics.Run("quarantine_query", from.String, func() { n.peers.QueryQuarantined(n.ctx, from) })
	}
}

// ReceiveCrash implements usage.Listener.
func (l usageListener) ReceiveCrash(c usage.Crash) {
	l.node.observeIncarnation(c.Upstream)
	l.node.relay.HandlePeerLoss(dispatch.PeerLossMsg(c))
}

// ReceivePartShare implements usage.Listener.
func (l usageListener) ReceivePartShare(s usage.PartShare) {
	l.node.relay.HandlePartShare(dispatch.PartShareMsg{Part: s.Part, Share: quarantine.Share{Answers: s.Answers, Requests: s.Requests}})
}

// ReceiveVerdict implements usage.Listener.
func (l usageListener) ReceiveVerdict(v usage.Verdict) {
	l.node.applyQuarantined([]dispatch.Quarantined{{Work: v.Work, Age: v.Age}})
}

// ReceiveAnswered implements usage.Listener.
func (l usageListener) ReceiveAnswered(id work.ID) { l.node.relay.HandlePeerAnswer(id) }

// Quarantined implements peering.LocalState.
func (s *localState) Quarantined() []dispatch.Quarantined { return s.node.quarantined.list() }

// ReceiveQuarantined implements peering.Receiver.
func (s *localState) ReceiveQuarantined(list []dispatch.Quarantined) { s.node.applyQuarantined(list) }
