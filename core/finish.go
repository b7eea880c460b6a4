package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// refuse ends a request that has not begun, and says when to ask again. It is
// the only place that says "not run", and says so of the request, not of this
// try: where an earlier try with the same key may have run, the answer is
// "unknown".
func (m *Model) refuse(r *request, reason Reason, retryAfter clock.Millis) {
	f := FinishCmd{Outcome: outcome.NotExecuted, Reason: reason, RetryAfter: retryAfter}
	if r.begun || r.mayHaveExecuted() || reasons[reason].notExecuted == "" {
		f.Outcome = outcome.Unknown
	}
	m.end(r, f)
}

// fail ends a request with an error that asking again would not change.
func (m *Model) fail(r *request, reason Reason) {
	m.end(r, FinishCmd{Outcome: outcome.Failed, Reason: reason})
}

// endUnknown ends a request that may have run, and will not be run again.
func (m *Model) endUnknown(r *request, reason Reason) {
	m.end(r, FinishCmd{Outcome: outcome.Unknown, Reason: reason})
}

// endUnanswered ends a request whose upstream is lost: one that may not be repeated is
// unknown, any other has failed.
func (m *Model) endUnanswered(r *request, reason Reason) {
	if r.noRepeat() {
		m.endUnknown(r, reason)
		return
	}
	m.fail(r, reason)
}

// end gives a request its final word, at once, and frees what it held.
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

// storeAnswer holds on to the answer of a key that has run, for callers that
// ask again. A key that has not run is let go: it may be asked for anew.
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
	// The record's digest stands for what was asked.
	r.spec.Prompt = ""
	r.spec.Body = nil
	for _, dropped := range m.answers.put(k) {
		delete(m.keys, dropped.name)
	}
}

// recordOutcome counts how a request ended.
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

// maxLateShare is the share of an answer's tokens that may come late: the bound
// is for 95 in 100.
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
