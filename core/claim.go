package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// maxClaimBatch bounds the claims in one transaction.
const maxClaimBatch = 256

// claimBatcher collects claims into batches, because the platform's table allows few writes per
// second. One batch is in flight at a time.
type claimBatcher struct {
	waiting  []*request
	inFlight []*request
	batch    uint64
	sentAt   clock.Millis
	failing  bool
}

// requestClaim queues a claim on a key chosen by the client. The claim is a sequence number of this
// node's ledger. The first claim written for a key is permanent, so writing the same claim again
// after a lost answer is safe.
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

// claimInterval returns the time between a node's batches. It grows with the number of live nodes,
// so that all nodes together stay within the claims' share of the platform's writes.
func (m *Model) claimInterval() clock.Millis {
	return clock.Millis(float64(m.members.LiveNodes(m.now)) * 1000 / m.claimWrites)
}

// claimRetryAfter returns the retry delay for clients while the store does not answer.
func (m *Model) claimRetryAfter() clock.Millis {
	return storeRetryInterval + m.jitter(storeRetryInterval)
}

// storeRetryInterval is the approximate time between attempts to reach a store that does not
// answer.
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

// hasClaims reports whether a claim is waiting or in flight. Its result will show whether the store
// answers again.
func (c *claimBatcher) hasClaims() bool { return len(c.waiting)+len(c.inFlight) > 0 }

func (c *claimBatcher) dropEnded() {
	c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return r.phase != phaseClaiming })
}

// claimsAnswered continues each request of a batch with the claim that the table holds for its key.
func (m *Model) claimsAnswered(msg ClaimsMsg) {
	if msg.Batch != m.claims.batch {
		m.stats.Stale++
		return
	}
	batch := m.claims.inFlight
	m.claims.inFlight = nil
	m.claims.failing = false
	for i, r := range batch {
		if r.phase == phaseClaiming && i < len(msg.Claims) && msg.Claims[i].Key == r.key.name {
			m.resolveClaim(r, msg.Claims[i].Claim)
		}
	}
	m.flushClaims()
}

// claimsFailed queues the claims of a failed batch again. They may have been written or not; both
// are safe, because the same claims are written again.
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

// expireClaims refuses requests whose claim was not answered within their bound.
func (m *Model) expireClaims() {
	for _, list := range [][]*request{m.claims.waiting, m.claims.inFlight} {
		for _, r := range list {
			if r.phase == phaseClaiming && m.now.Sub(r.arrivedAt) > m.firstTokenBudget(r) {
				m.refuse(r, ReasonStoreDown, m.claimRetryAfter())
			}
		}
	}
}
