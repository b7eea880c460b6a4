package dispatch

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// noDeadline stands in for the deadline of a caller that names none.
const noDeadline clock.Millis = 60_000

// arrive checks a request against the configuration and sends it off.
func (m *Model) arrive(msg ArriveMsg) []Cmd {
	if m.waitsForStart() {
		m.early = append(m.early, early{msg: msg, at: m.now})
		return nil
	}
	if m.catalog == nil {
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNoConfig, backStale)
	}
	route, err := m.catalog.Route(msg.Host, msg.Path)
	if err != nil {
		if !m.fresh(m.now) {
			return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonStaleConfig, backStale)
		}
		return m.refuse(msg.Request, http.StatusNotFound, ReasonNoRoute, 0)
	}
	r := &request{msg: msg, arrived: m.now, route: route, tried: make(map[fleet.Incarnation]bool), ranAt: make(map[fleet.Incarnation]run)}
	r.keyed = m.catalog.HasAccounts() && !route.Anonymous
	if cmds := m.admitKey(r); cmds != nil {
		return cmds
	}
	r.work = msg.Asked.ForAccount(r.account.Name)
	r.deadline = m.now.Add(noDeadline)
	if msg.Remaining > 0 {
		r.deadline = m.now.Add(msg.Remaining)
	}
	r.giveUp = r.deadline
	if route.Timeout > 0 {
		r.giveUp = m.now.Add(route.Timeout)
	}
	r.service = m.catalog.Service(route.ServiceAt(position(msg.CallerID)))
	if r.service == nil {
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNoUpstream, backHealing)
	}
	r.tokens = expectedTokens(msg)
	m.requests[msg.Request] = r
	m.budget(r.service.Name).Deposit(m.now)
	return m.send(r)
}

// admitKey checks a request's key, and that the check is not out of date.
func (m *Model) admitKey(r *request) []Cmd {
	if !r.keyed {
		return nil
	}
	if !m.fresh(m.now) {
		return m.refuse(r.msg.Request, http.StatusServiceUnavailable, ReasonStaleConfig, backStale)
	}
	account, err := m.catalog.Account(r.msg.Key)
	if err != nil || !r.msg.HasKey {
		return m.refuse(r.msg.Request, http.StatusUnauthorized, ReasonNoAccount, 0)
	}
	r.account = account
	return nil
}

// refuse ends a request with an answer of the node's own.
func (m *Model) refuse(id RequestID, status int, reason Reason, back clock.Millis) []Cmd {
	return m.end(id, m.finish(id, status, reason, back), reason)
}

// refuseFor ends a request that has not run for want of something.
func (m *Model) refuseFor(id RequestID, reason Reason, back clock.Millis, lack *Lack) []Cmd {
	cmd := m.finish(id, http.StatusServiceUnavailable, reason, back)
	cmd.Lack = lack
	return m.end(id, cmd, reason)
}

// refuseLimited ends a request that has not run since all that could serve it have limits.
func (m *Model) refuseLimited(r *request, back clock.Millis, why *Limited) []Cmd {
	cmd := m.finish(r.msg.Request, http.StatusServiceUnavailable, ReasonLimit, back)
	cmd.Limited = why
	return m.end(r.msg.Request, cmd, ReasonLimit)
}

// end ends a request with a whole answer, or cuts it where its answer has begun: two
// answers in one would look like one that is complete. All requests end here or with
// cut.
func (m *Model) end(id RequestID, answer Cmd, reason Reason) []Cmd {
	if r := m.requests[id]; r != nil && r.begun() {
		return m.cut(id, reason)
	}
	m.forget(id)
	return []Cmd{answer}
}

// cut ends a request whose answer has begun.
func (m *Model) cut(id RequestID, reason Reason) []Cmd {
	m.forget(id)
	return []Cmd{CutCmd{Request: id, Reason: reason}}
}

// finish makes an answer of the node's own. A 503 promises that the request has not
// run, so it becomes a 502 where it may have.
func (m *Model) finish(id RequestID, status int, reason Reason, back clock.Millis) FinishCmd {
	if r := m.requests[id]; r != nil && r.runs > 0 && status == http.StatusServiceUnavailable {
		status, reason, back = http.StatusBadGateway, ReasonUnknown, 0
	}
	cmd := FinishCmd{Request: id, Status: status, Reason: reason, RetryAfter: back, ConfigAge: clock.AgeOf(m.confirmed, m.now)}
	if r := m.requests[id]; r != nil {
		cmd.Work = r.work
	}
	if m.catalog != nil {
		cmd.Config = m.catalog.Edition()
	}
	return cmd
}

// position spreads callers' names evenly from 0 up to 1.
func position(name string) float64 {
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

// expectedTokens is how much memory a generation is likely to take on average
// while it lasts, in tokens.
func expectedTokens(msg ArriveMsg) float64 {
	out := float64(msg.AnswerTokens) * answerShare
	if msg.HintTokens > 0 {
		out = float64(msg.HintTokens)
	}
	if msg.AnswerTokens > 0 {
		out = min(out, float64(msg.AnswerTokens))
	}
	return float64(msg.PromptTokens) + answerHeld*out
}
