package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// attemptFailed decides what follows a failed attempt: another one, the
// upstream's own failure, or an answer of the node's.
func (m *Model) attemptFailed(msg AttemptFailedMsg) []Cmd {
	r := m.requests[msg.Request]
	if r == nil || msg.Attempt != r.sends {
		return nil
	}
	cmds := append(m.blame(r, msg), m.noteLoss(r, msg)...)
	m.noteRun(r, msg)
	if msg.Cause == NotRunFull && r.service.Pipeline == nil {
		r.placeless++
	}
	r.events, r.delivered = msg.Events, msg.Delivered
	m.endAttempt(r)
	return append(cmds, m.next(r, msg)...)
}

func (m *Model) next(r *request, msg AttemptFailedMsg) []Cmd {
	reason := m.mayRepeat(r, msg.Cause)
	if reason == ReasonNoBudget && msg.Cause == NotRunFull && r.service.Pipeline == nil {
		// It goes on when the budget allows, as it does when there is a place.
		return m.awaitPlace(r)
	}
	if reason != "" {
		return m.lastWord(r, msg, reason)
	}
	cmds := m.resend(r)
	if r.awaitsPlace && msg.Cause.spends() {
		// The repeat is paid for when it is made.
		m.budget(r.service.Name).Refund(m.now)
	}
	if slices.ContainsFunc(cmds, isSend) || !r.awaits.IsZero() || r.awaitsPlace {
		return cmds
	}
	if m.requests[r.msg.Request] == nil && msg.Cause.spends() {
		// There was nobody to send it to.
		m.budget(r.service.Name).Refund(m.now)
	}
	if msg.Cause == Failed && !r.begun() {
		return m.relay(r, msg)
	}
	return cmds
}

// spends tells whether another attempt takes from the budget of repeats: where the request
// has reached an upstream.
func (c Cause) spends() bool { return c != NotSent && c != HeldBack }

func isSend(cmd Cmd) bool {
	_, ok := cmd.(SendCmd)
	return ok
}

// mayRepeat returns why a request may not be sent again, or nothing.
func (m *Model) mayRepeat(r *request, cause Cause) Reason {
	ran := cause == Unknown || cause == Slow || cause == Failed
	switch {
	case r.delivered == DeliveredPart:
		return ReasonUnknown
	case ran && !r.route.MayRepeat():
		return ReasonUnknown
	case cause == Failed && r.route.Kind == 0:
		return ReasonUnknown
	case !r.mayRunAgain(), r.sends-r.placeless >= mostSends:
		return ReasonRefused
	case r.left(m.now) < leastLeft:
		return ReasonTimeout
	case cause.spends() && !m.budget(r.service.Name).TryWithdraw(m.now):
		return ReasonNoBudget
	}
	return ""
}

// lastWord ends a request after its last attempt.
func (m *Model) lastWord(r *request, msg AttemptFailedMsg, reason Reason) []Cmd {
	if r.begun() {
		return m.giveUp(r, reason)
	}
	if msg.Cause == Failed {
		return m.relay(r, msg)
	}
	return m.giveUp(r, reason)
}

func (m *Model) relay(r *request, msg AttemptFailedMsg) []Cmd {
	return m.end(r.msg.Request, RelayCmd{Request: r.msg.Request, Attempt: msg.Attempt}, ReasonUnknown)
}

// blame notes what an attempt's failure says about an upstream.
func (m *Model) blame(r *request, msg AttemptFailedMsg) []Cmd {
	if msg.Cause == HeldBack {
		return nil
	}
	if r.first != nil {
		r.tried[r.first.entry.ID] = true
	}
	at := m.atFault(r, msg)
	if at == nil {
		return nil
	}
	r.tried[at.entry.ID] = true
	switch msg.Cause {
	case NotRunFull:
		if at.resting(m.now) {
			// It has said for how long.
			return nil
		}
		at.refusedItself = at == r.first
		at.refused(m.now)
		return nil
	case NotRunElsewhere:
		at.misplaced(m.now)
		return nil
	case Failed:
		at.record(m.now.Sub(r.arrived), true)
		return nil
	default:
		at.record(m.now.Sub(r.arrived), true)
		return m.suspect(at, msg.Cause, r)
	}
}

// atFault returns the upstream that a failure speaks against. An attempt that
// was taken back for want of events speaks against nobody, unless somebody was
// found silent.
func (m *Model) atFault(r *request, msg AttemptFailedMsg) *upstream {
	if at, ok := r.at(msg.At); ok {
		// Who has ended since cannot be blamed, nor can who has its address now.
		return m.upstreams[at]
	}
	if msg.Cause == Slow {
		return nil
	}
	return r.first
}

// suspect keeps an upstream from getting work until a probe has found it well,
// and tells the other streams that pass it.
func (m *Model) suspect(u *upstream, cause Cause, by *request) []Cmd {
	u.cause = cause
	if u.suspect && m.now < u.avoidUntil {
		return nil
	}
	until := u.strike(m.now)
	cmds := []Cmd{SuspectCmd{Upstream: u.entry.ID, Until: until, Strikes: u.strikes, Cause: cause}}
	if u.pipeline == nil {
		return cmds
	}
	return append(cmds, m.reconsider(u, by)...)
}

// reconsider tells the streams that pass an engine under suspicion, but for one that
// has found it out.
func (m *Model) reconsider(u *upstream, by *request) []Cmd {
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r := m.requests[id]; r != by && r.passes(u.entry.ID) {
			cmds = append(cmds, ReconsiderCmd{Request: id, Attempt: r.sends, At: u.entry.Address})
		}
	}
	return cmds
}

func (m *Model) attemptDone(msg AttemptDoneMsg) []Cmd {
	r := m.requests[msg.Request]
	if r == nil || msg.Attempt != r.sends {
		return nil
	}
	first := r.first
	if first != nil {
		first.record(msg.Took, msg.Failed)
		first.refusals = 0
	}
	if r.route.Kind == catalog.Streaming {
		m.noteLasts(msg.Took)
	}
	for _, p := range r.parts {
		if u := m.upstreams[p.ID]; u != nil {
			u.refusals = 0
		}
	}
	m.forget(msg.Request)
	return append(m.tellNews(m.quarantine.RequestAnswered(m.now, r.work, true)), m.takePlaces(r.service.Name, first)...)
}
