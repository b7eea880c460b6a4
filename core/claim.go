package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// maxClaimBatch bounds the claims of one transaction.
const maxClaimBatch = 256

// claimBatcher gathers claims, so that the platform's few writes a second
// carry many of them. One batch is out at a time.
type claimBatcher struct {
	waiting  []*request
	inFlight []*request
	batch    uint64
	sentAt   clock.Millis
	failing  bool
}

// requestClaim asks for a key that a caller has made up. The claim is a number of
// this node's ledger; the first one written for a key stands for ever, so
// asking again after a lost answer, with the same number, does no harm.
func (m *Model) requestClaim(r *request) {
	if m.claims.failing && r.spec.FirstTry && m.claims.hasClaims() {
		m.refuse(r, ReasonStoreDown, m.claimRetryAfter())
		return
	}
	r.phase = phaseClaiming
	r.key.claim = m.ledger.NewClaim()
	m.claims.waiting = append(m.claims.waiting, r)
	m.flushClaims()
}

// claimInterval is how long a node waits between its batches, so that all nodes
// together stay within their share of the platform's writes.
func (m *Model) claimInterval() clock.Millis {
	return clock.Millis(float64(m.members.LiveNodes(m.now)) * 1000 / m.claimWrites)
}

// claimRetryAfter is when to ask again while the store gives no answers.
func (m *Model) claimRetryAfter() clock.Millis {
	return storeRetryInterval + m.jitter(storeRetryInterval)
}

// storeRetryInterval is about how often the store is tried while it is down.
const storeRetryInterval clock.Millis = 1000

func (m *Model) flushClaims() {
	c := &m.claims
	if len(c.inFlight) > 0 || (c.batch > 0 && m.now.Sub(c.sentAt) < m.claimInterval()) {
		return
	}
	if c.failing && m.now.Sub(c.sentAt) < storeRetryInterval/4 {
		return
	}
	c.dropEnded()
	if len(c.waiting) == 0 {
		return
	}
	n := min(len(c.waiting), maxClaimBatch)
	c.inFlight = append(c.inFlight, c.waiting[:n]...)
	c.waiting = c.waiting[n:]
	c.batch++
	c.sentAt = m.now
	claims := make([]KeyClaim, 0, n)
	for _, r := range c.inFlight {
		claims = append(claims, KeyClaim{Key: r.key.name, Claim: r.key.claim})
	}
	m.stats.ClaimBatches++
	m.stats.Claims += uint64(n)
	m.addCmd(&ClaimsCmd{Batch: c.batch, Claims: claims})
}

// hasClaims reports whether a claim is on its way that will show whether the store
// answers again.
func (c *claimBatcher) hasClaims() bool { return len(c.waiting)+len(c.inFlight) > 0 }

func (c *claimBatcher) dropEnded() {
	c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return r.phase != phaseClaiming })
}

// claimsAnswered goes on with each key of a batch, at its owner.
func (m *Model) claimsAnswered(msg ClaimsMsg) {
	if msg.Batch != m.claims.batch {
		m.stats.Stale++
		return
	}
	out := m.claims.inFlight
	m.claims.inFlight = nil
	m.claims.failing = false
	for i, r := range out {
		if r.phase == phaseClaiming && i < len(msg.Claims) && msg.Claims[i].Key == r.key.name {
			m.resolveClaim(r, msg.Claims[i].Claim)
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
	c.waiting = append(c.inFlight, c.waiting...)
	c.inFlight = nil
	c.failing = true
}

// expireClaims refuses requests whose claim has taken too long.
func (m *Model) expireClaims() {
	for _, list := range [][]*request{m.claims.waiting, m.claims.inFlight} {
		for _, r := range list {
			if r.phase == phaseClaiming && m.now.Sub(r.arrivedAt) > m.firstTokenBudget(r) {
				m.refuse(r, ReasonStoreDown, m.claimRetryAfter())
			}
		}
	}
}
