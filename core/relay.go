package core

import "github.com/hoistjunction/hoistjunction/outcome"

// relay sends a request to the owner of its key. If the owner is gone, no other node may execute
// the key, because the owner may have executed it.
func (m *Model) relay(r *request) {
	owner := m.members.Owner(r.key.claim.Owner)
	if owner == nil {
		m.ownerUnreachable(r)
		return
	}
	r.phase = phaseRelayed
	m.relayed = append(m.relayed, r)
	m.stats.Relayed++
	m.addCmd(&RelayCmd{
		Request:  r.id,
		Owner:    r.key.claim,
		Address:  owner.Record().GetAddress(),
		Account:  r.account.config.GetName(),
		Spec:     r.spec,
		Deadline: max(r.deadline.Sub(m.now), 1),
	})
}

// ownerUnreachable refuses a request that did not reach the owner of its key. The outcome is
// NotExecuted for a client's first try, and Unknown otherwise.
func (m *Model) ownerUnreachable(r *request) {
	m.refuse(r, ReasonOwnerGone, rejectRetryAfter+m.jitter(rejectRetryAfter))
}

func (m *Model) relayTokens(msg RelayTokensMsg) {
	r := m.requests[msg.Request]
	if r == nil || r.phase != phaseRelayed {
		m.stats.Stale++
		return
	}
	from := len(r.texts)
	r.texts = append(r.texts, msg.Texts...)
	m.addCmd(&EmitCmd{Callers: r.callers, Texts: r.texts[from:]})
}

func (m *Model) relayDone(msg RelayDoneMsg) {
	r := m.requests[msg.Request]
	if r == nil || r.phase != phaseRelayed {
		m.stats.Stale++
		return
	}
	r.firstTokenAt = m.now
	m.end(r, msg.Finish)
}

func (m *Model) relayFailed(msg RelayFailedMsg) {
	r := m.requests[msg.Request]
	if r == nil || r.phase != phaseRelayed {
		m.stats.Stale++
		return
	}
	if msg.NotSent {
		m.ownerUnreachable(r)
		return
	}
	m.end(r, FinishCmd{Outcome: outcome.Unknown, Reason: ReasonOwnerGone, RetryAfter: rejectRetryAfter + m.jitter(rejectRetryAfter)})
}

// expireRelays ends relayed requests whose deadline has passed. The owner continues them.
func (m *Model) expireRelays() {
	kept := m.relayed[:0]
	var expired []*request
	for _, r := range m.relayed {
		switch {
		case r.phase != phaseRelayed:
		case m.now >= r.deadline:
			expired = append(expired, r)
		default:
			kept = append(kept, r)
		}
	}
	clear(m.relayed[len(kept):])
	m.relayed = kept
	for _, r := range expired {
		m.end(r, FinishCmd{Outcome: outcome.Unknown, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
	}
}
