package core

import (
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// resolveKey finds the owner of a request's key. A key that is known at this node attaches the
// request to the earlier one. The claim of a relayed request or of a ticket is known; any other key
// needs a claim from the platform's table.
func (m *Model) resolveKey(r *request) {
	name := keyName(r.account.config.GetName(), r.spec.Key)
	if known := m.keys[name]; known != nil {
		m.attach(r, known)
		return
	}
	k := &keyRecord{name: name, request: r, digest: requestDigest(&r.spec)}
	r.key = k
	m.keys[name] = k
	if r.spec.Relayed {
		m.resolveClaim(r, r.spec.Claim)
		return
	}
	t, isTicket := once.ParseTicket(r.spec.Key)
	if !isTicket {
		m.requestClaim(r)
		return
	}
	if l := m.ledgers[t.Claim.Owner]; l != nil && !l.Verify(t, r.account.config.GetName()) {
		m.fail(r, ReasonBadRequest)
		return
	}
	m.resolveClaim(r, t.Claim)
}

// resolveClaim continues a request whose claim is known: at this node if it holds the claim's
// ledger, and otherwise by relaying the request to the owner.
func (m *Model) resolveClaim(r *request, c once.Claim) {
	r.key.claim = c
	l := m.ledgers[c.Owner]
	if l == nil || m.drain.sealed {
		if r.spec.Relayed {
			m.refuse(r, ReasonOwnerGone, rejectRetryAfter)
			return
		}
		m.relay(r)
		return
	}
	r.key.ledger = l
	switch l.State(c.Sequence) {
	case once.NotBegun:
		r.key.owned = true
		m.admit(r)
	case once.NeverIssued:
		m.fail(r, ReasonBadRequest)
	default:
		m.endUnknown(r, ReasonAnswerGone)
	}
}

// attach connects the caller of a retry to the request that its key identifies. The caller gets the
// answer so far, and then the rest or the result.
func (m *Model) attach(retry *request, k *keyRecord) {
	m.discard(retry)
	caller := retry.spec.Caller
	r := k.request
	if k.digest != requestDigest(&retry.spec) {
		m.addCmd(&FinishCmd{Caller: caller, Outcome: outcome.Failed, Reason: ReasonKeyReused})
		return
	}
	m.stats.Attached++
	if !retry.spec.FirstTry {
		r.spec.FirstTry = false
	}
	if len(r.texts) > 0 {
		m.addCmd(&EmitCmd{Callers: []uint64{caller}, Texts: r.texts})
	}
	if r.phase == phaseEnded {
		f := r.final
		f.Caller = caller
		m.addCmd(&f)
		return
	}
	r.callers = append(r.callers, caller)
	m.byCaller[caller] = r
}

// discard removes a request that is a retry of an earlier one.
func (m *Model) discard(r *request) {
	delete(m.requests, r.id)
	delete(m.byCaller, r.spec.Caller)
	r.account.inProgress--
}
