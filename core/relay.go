package core

import "github.com/hoistjunction/hoistjunction/outcome"

// relay hands a request to the owner of its key. When the owner is gone nobody
// may run the key: what it did is not known.
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

// ownerUnreachable ends a request whose owner has not seen it and cannot be reached.
// A caller that has not tried before knows then that it has not run.
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

// expireRelays ends relayed requests whose time is over. The owner goes on.
func (m *Model) expireRelays() {
	kept := m.relayed[:0]
	var late []*request
	for _, r := range m.relayed {
		switch {
		case r.phase != phaseRelayed:
		case m.now >= r.deadline:
			late = append(late, r)
		default:
			kept = append(kept, r)
		}
	}
	clear(m.relayed[len(kept):])
	m.relayed = kept
	for _, r := range late {
		m.end(r, FinishCmd{Outcome: outcome.Unknown, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
	}
}
