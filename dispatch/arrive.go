package dispatch

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/clock"
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
	r := &request{msg: msg, arrived: m.now, route: route, tried: make(map[string]bool), ranAt: make(map[string]bool)}
	r.keyed = m.catalog.HasAccounts() && !route.Anonymous
	if cmds := m.admitKey(r); cmds != nil {
		return cmds
	}
	r.deadline = m.now.Add(noDeadline)
	if msg.Remaining > 0 {
		r.deadline = m.now.Add(msg.Remaining)
	}
	r.giveUp = r.deadline
	if route.Timeout > 0 {
		r.giveUp = m.now.Add(route.Timeout)
	}
	r.service = m.catalog.Service(route.Pick(position(msg.CallerID)))
	if r.service == nil {
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNoUpstream, backHealing)
	}
	r.tokens = expectedTokens(msg)
	m.requests[msg.Request] = r
	m.budget(r.service.Name).Earn(m.now)
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

// refuse ends a request that has not been sent.
func (m *Model) refuse(id RequestID, status int, reason Reason, back clock.Millis) []Cmd {
	return []Cmd{m.finish(id, status, reason, back)}
}

// refuseFor ends a request that has not run for want of something.
func (m *Model) refuseFor(id RequestID, reason Reason, back clock.Millis, lack *Lack) []Cmd {
	cmd := m.finish(id, http.StatusServiceUnavailable, reason, back)
	cmd.Lack = lack
	return []Cmd{cmd}
}

func (m *Model) finish(id RequestID, status int, reason Reason, back clock.Millis) FinishCmd {
	m.forget(id)
	cmd := FinishCmd{Request: id, Status: status, Reason: reason, RetryAfter: back, CatalogAge: clock.AgeOf(m.confirmed, m.now)}
	if m.catalog != nil {
		cmd.CatalogVersion = m.catalog.Version()
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
