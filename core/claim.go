package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// maxBatch bounds the claims of one transaction.
const maxBatch = 256

// claimBatcher gathers claims, so that the platform's few writes a second
// carry many of them. One batch is out at a time.
type claimBatcher struct {
	waiting []*request
	out     []*request
	batch   uint64
	flushed clock.Millis
	failing bool
}

// claim asks for a key that a caller has made up. The claim is a number of
// this node's ledger; the first one written for a key stands for ever, so
// asking again after a lost answer, with the same number, does no harm.
func (m *Model) claim(r *request) {
	if m.claims.failing && r.spec.FirstTry && m.claims.busy() {
		m.refuse(r, ReasonStoreDown, m.claimPause())
		return
	}
	r.phase = phaseClaiming
	r.key.claim = m.ledger.NewClaim()
	m.claims.waiting = append(m.claims.waiting, r)
	m.flushClaims()
}

// claimEvery is how long a node waits between its batches, so that all nodes
// together stay within their share of the platform's writes.
func (m *Model) claimEvery() clock.Millis {
	return clock.Millis(float64(m.members.LiveNodes(m.now)) * 1000 / m.claimWrites)
}

// claimPause is when to ask again while the store gives no answers.
func (m *Model) claimPause() clock.Millis {
	return storePause + m.jitter(storePause)
}

// storePause is about how often the store is tried while it is down.
const storePause clock.Millis = 1000

func (m *Model) flushClaims() {
	c := &m.claims
	if len(c.out) > 0 || (c.batch > 0 && m.now.Sub(c.flushed) < m.claimEvery()) {
		return
	}
	if c.failing && m.now.Sub(c.flushed) < storePause/4 {
		return
	}
	c.dropEnded()
	if len(c.waiting) == 0 {
		return
	}
	n := min(len(c.waiting), maxBatch)
	c.out = append(c.out, c.waiting[:n]...)
	c.waiting = c.waiting[n:]
	c.batch++
	c.flushed = m.now
	claims := make([]KeyClaim, 0, n)
	for _, r := range c.out {
		claims = append(claims, KeyClaim{Key: r.key.name, Claim: r.key.claim})
	}
	m.stats.ClaimBatches++
	m.stats.Claims += uint64(n)
	m.do(&ClaimsCmd{Batch: c.batch, Claims: claims})
}

// busy reports whether a claim is on its way that will show whether the store
// answers again.
func (c *claimBatcher) busy() bool { return len(c.waiting)+len(c.out) > 0 }

func (c *claimBatcher) dropEnded() {
	c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return r.phase != phaseClaiming })
}

// claimsAnswered goes on with each key of a batch, at its owner.
func (m *Model) claimsAnswered(msg ClaimsMsg) {
	if msg.Batch != m.claims.batch {
		m.stats.Stale++
		return
	}
	out := m.claims.out
	m.claims.out = nil
	m.claims.failing = false
	for i, r := range out {
		if r.phase == phaseClaiming && i < len(msg.Claims) && msg.Claims[i].Key == r.key.name {
			m.settleClaim(r, msg.Claims[i].Claim)
		}
	}
	m.flushClaims()
}

// claimsFailed puts a batch back in line. Whether its claims were written is
// not known, and need not be: they will be asked for again as they are.
func (m *Model) claimsFailed(msg ClaimsFailedMsg) {
	if msg.Batch != m.claims.batch {
		m.stats.Stale++
		return
	}
	c := &m.claims
	c.waiting = append(c.out, c.waiting...)
	c.out = nil
	c.failing = true
}

// expireClaims refuses requests whose claim has taken too long.
func (m *Model) expireClaims() {
	for _, list := range [][]*request{m.claims.waiting, m.claims.out} {
		for _, r := range list {
			if r.phase == phaseClaiming && m.now.Sub(r.arrived) > m.queueBound(r) {
				m.refuse(r, ReasonStoreDown, m.claimPause())
			}
		}
	}
}
