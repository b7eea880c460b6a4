package dispatch

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// defaultClientTimeout stands in for the deadline of a caller that names none.
const defaultClientTimeout clock.Millis = 60_000

// arrive checks a request against the configuration and sends it off.
func (m *Model) arrive(msg ArriveMsg) []Cmd {
	if m.defersArrivals() {
		m.deferred = append(m.deferred, deferredArrival{arrival: msg, deferredAt: m.now})
		return nil
	}
	if m.catalog == nil {
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNoConfig, staleConfigRetryAfter)
	}
	route, err := m.catalog.Route(msg.Host, msg.Path)
	if err != nil {
		if !m.configFresh(m.now) {
			return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonStaleConfig, staleConfigRetryAfter)
		}
		return m.refuse(msg.Request, http.StatusNotFound, ReasonNoRoute, 0)
	}
	r := &request{arrival: msg, arrivedAt: m.now, route: route, triedUpstreams: make(map[fleet.Incarnation]bool), executedOn: make(map[fleet.Incarnation]execution)}
	r.requiresKey = m.catalog.HasAccounts() && !route.Anonymous
	if cmds := m.checkKey(r); cmds != nil {
		return cmds
	}
	r.work = msg.Work.ForAccount(r.account.Name)
	r.clientDeadline = m.now.Add(defaultClientTimeout)
	if msg.Remaining > 0 {
		r.clientDeadline = m.now.Add(msg.Remaining)
	}
	r.giveUp = r.clientDeadline
	if route.Timeout > 0 {
		r.giveUp = m.now.Add(route.Timeout)
	}
	r.service = m.catalog.Service(route.ServiceAt(hashPosition(msg.CallerID)))
	if r.service == nil {
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNoUpstream, coverageGapRetryAfter)
	}
	r.memoryTokens = expectedMemoryTokens(msg)
	m.requests[msg.Request] = r
	m.budget(r.service.Name).Deposit(m.now)
	return m.send(r)
}

// checkKey checks a request's key, and that the check is not out of date.
func (m *Model) checkKey(r *request) []Cmd {
	if !r.requiresKey {
		return nil
	}
	if !m.configFresh(m.now) {
		return m.refuse(r.arrival.Request, http.StatusServiceUnavailable, ReasonStaleConfig, staleConfigRetryAfter)
	}
	account, err := m.catalog.Account(r.arrival.Key)
	if err != nil || !r.arrival.HasKey {
		return m.refuse(r.arrival.Request, http.StatusUnauthorized, ReasonUnknownKey, 0)
	}
	r.account = account
	return nil
}

// refuse ends a request with an answer of the node's own.
func (m *Model) refuse(id RequestID, status int, reason Reason, back clock.Millis) []Cmd {
	return m.respondOrAbort(id, m.response(id, status, reason, back), reason)
}

// refuseMissing ends a request that has not run for want of something.
func (m *Model) refuseMissing(id RequestID, reason Reason, back clock.Millis, lack *MissingResource) []Cmd {
	cmd := m.response(id, http.StatusServiceUnavailable, reason, back)
	cmd.Missing = lack
	return m.respondOrAbort(id, cmd, reason)
}

// refuseRateLimited ends a request that has not run since all that could serve it have limits.
func (m *Model) refuseRateLimited(r *request, back clock.Millis, why *LimitRefusal) []Cmd {
	cmd := m.response(r.arrival.Request, http.StatusServiceUnavailable, ReasonRateLimit, back)
	cmd.RateLimit = why
	return m.respondOrAbort(r.arrival.Request, cmd, ReasonRateLimit)
}

// respondOrAbort ends a request with a whole answer, or cuts it where its answer has begun: two
// answers in one would look like one that is complete. All requests end here or with
// cut.
func (m *Model) respondOrAbort(id RequestID, answer Cmd, reason Reason) []Cmd {
	if r := m.requests[id]; r != nil && r.answerBegun() {
		return m.abort(id, reason)
	}
	m.dropRequest(id)
	return []Cmd{answer}
}

// abort ends a request whose answer has begun.
func (m *Model) abort(id RequestID, reason Reason) []Cmd {
	m.dropRequest(id)
	return []Cmd{AbortResponseCmd{Request: id, Reason: reason}}
}

// response makes an answer of the node's own. A 503 promises that the request has not
// run, so it becomes a 502 where it may have.
func (m *Model) response(id RequestID, status int, reason Reason, back clock.Millis) RespondCmd {
	if r := m.requests[id]; r != nil && r.executions > 0 && status == http.StatusServiceUnavailable {
		status, reason, back = http.StatusBadGateway, ReasonAnswerLost, 0
	}
	cmd := RespondCmd{Request: id, Status: status, Reason: reason, RetryAfter: back, ConfigAge: clock.AgeOf(m.configConfirmedAt, m.now)}
	if r := m.requests[id]; r != nil {
		cmd.Work = r.work
	}
	if m.catalog != nil {
		cmd.Config = m.catalog.Edition()
	}
	return cmd
}

// hashPosition spreads callers' names evenly from 0 up to 1.
func hashPosition(name string) float64 {
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

// expectedMemoryTokens is how much memory a generation is likely to take on average
// while it lasts, in tokens.
func expectedMemoryTokens(msg ArriveMsg) float64 {
	out := float64(msg.AnswerTokens) * expectedAnswerShare
	if msg.HintTokens > 0 {
		out = float64(msg.HintTokens)
	}
	if msg.AnswerTokens > 0 {
		out = min(out, float64(msg.AnswerTokens))
	}
	return float64(msg.PromptTokens) + answerMemoryShare*out
}
