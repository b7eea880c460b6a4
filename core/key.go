package core

import (
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// resolveKey finds out whose key a request carries.
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

// resolveClaim goes on with a request whose key is known to be a claim's.
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

// attach gives a caller that asks again the request that its key stands for:
// the rest of its answer, or its final word.
func (m *Model) attach(again *request, k *keyRecord) {
	m.discard(again)
	caller := again.spec.Caller
	r := k.request
	if k.digest != requestDigest(&again.spec) {
		m.addCmd(&FinishCmd{Caller: caller, Outcome: outcome.Failed, Reason: ReasonKeyReused})
		return
	}
	m.stats.Attached++
	if !again.spec.FirstTry {
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

// discard forgets a request that turned out to be another's second try.
func (m *Model) discard(r *request) {
	delete(m.requests, r.id)
	delete(m.byCaller, r.spec.Caller)
	r.account.inProgress--
}
