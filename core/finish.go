package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// refuse ends a request that has not begun and gives a retry delay. Apart from results relayed from
// an owner, only refuse reports "not executed" to the caller of an accepted request. The report
// covers the whole request and not just this try: if an earlier try with the same key may have been
// executed, the outcome is Unknown.
func (m *Model) refuse(r *request, reason Reason, retryAfter clock.Millis) {
	f := FinishCmd{Outcome: outcome.NotExecuted, Reason: reason, RetryAfter: retryAfter}
	if r.begun || r.mayHaveExecuted() || reasons[reason].notExecuted == "" {
		f.Outcome = outcome.Unknown
	}
	m.end(r, f)
}

// fail ends a request with an error that a retry would get again.
func (m *Model) fail(r *request, reason Reason) {
	m.end(r, FinishCmd{Outcome: outcome.Failed, Reason: reason})
}

// endUnknown ends a request that may have been executed and will not be executed again.
func (m *Model) endUnknown(r *request, reason Reason) {
	m.end(r, FinishCmd{Outcome: outcome.Unknown, Reason: reason})
}

// endUnanswered ends a request whose upstream crashed or did not answer in time. The outcome is
// Unknown if the request may not be repeated, and Failed otherwise.
func (m *Model) endUnanswered(r *request, reason Reason) {
	if r.noRepeat() {
		m.endUnknown(r, reason)
		return
	}
	m.fail(r, reason)
}

// end sends a request's result to its callers and releases its resources.
func (m *Model) end(r *request, f FinishCmd) {
	if r.phase == phaseEnded {
		return
	}
	m.releaseSlots(r)
	r.phase = phaseEnded
	f.Tokens = len(r.texts)
	r.final = f
	for _, caller := range r.callers {
		final := f
		final.Caller = caller
		m.addCmd(&final)
		delete(m.byCaller, caller)
	}
	r.callers = nil
	delete(m.requests, r.id)
	r.account.inProgress--
	m.storeAnswer(r)
	m.recordOutcome(r, f)
	m.dispatch(r.route.lane)
}

// storeAnswer keeps the answer of a key that has begun, for client retries. A key that has not
// begun is deleted, so that a retry is handled as a new request.
func (m *Model) storeAnswer(r *request) {
	k := r.key
	if k == nil {
		return
	}
	if !k.owned || k.ledger.State(k.claim.Sequence) != once.Begun {
		delete(m.keys, k.name)
		return
	}
	r.step = nil
	r.chain = nil
	// The digest in the key record suffices to compare a retry with this request.
	r.spec.Prompt = ""
	r.spec.Body = nil
	for _, evicted := range m.answers.put(k) {
		delete(m.keys, evicted.name)
	}
}

// recordOutcome counts a request's outcome, and whether it met its bounds in the account's burn
// meter. Canceled requests and client errors are not metered.
func (m *Model) recordOutcome(r *request, f FinishCmd) {
	m.stats.count(f.Outcome, f.Reason)
	if f.Reason == ReasonCanceled || (f.Outcome == outcome.Failed && f.Reason.isClientError()) {
		return
	}
	good := f.Outcome == outcome.Done && r.withinBounds(m.now)
	r.account.meter(r.route.config.GetName()).Record(m.now, good)
	if good {
		m.stats.Good++
	}
}

// maxLateShare is the share of an answer's tokens that may exceed the bound: the objective applies
// to 95 in 100 tokens.
const maxLateShare = 0.05

func (r *request) withinBounds(now clock.Millis) bool {
	if r.route.isService() {
		return now.Sub(r.arrivedAt) <= r.route.firstTokenBound()
	}
	if r.firstTokenAt.Sub(r.arrivedAt) > r.route.firstTokenBound() {
		return false
	}
	return float64(r.lateTokens) <= maxLateShare*float64(len(r.texts))
}

func (r Reason) isClientError() bool {
	switch r {
	case ReasonBadRequest, ReasonUnauthorized, ReasonNoRoute, ReasonKeyReused:
		return true
	default:
		return false
	}
}
