package dispatch

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// defaultClientTimeout is the assumed timeout of a client that sends none.
const defaultClientTimeout clock.Millis = 60_000

// arrive handles a new request, which may have to wait for the node's initial state.
func (m *Model) arrive(msg ArriveMsg) []Cmd {
	if m.deferArrival(msg) {
		return nil
	}
	return m.accept(msg, m.now)
}

// accept checks a request, which the node received at a time, against the configuration and sends
// it to an upstream.
func (m *Model) accept(msg ArriveMsg, receivedAt clock.Millis) []Cmd {
	if refusal := m.refuseForwarded(msg); refusal != nil {
		return refusal
	}
	if m.awaitsComparison(m.now) {
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonStaleConfig, shortRetryAfter)
	}
	r, refusal := m.checkConfig(msg)
	if refusal != nil {
		return refusal
	}
	r.receivedAt = receivedAt
	r.work = work.Request{Content: msg.Work.ForAccount(r.account.Name), Parts: msg.PromptParts}
	r.clientDeadline = m.now.Add(defaultClientTimeout)
	if msg.Remaining > 0 {
		r.clientDeadline = m.now.Add(msg.Remaining)
	}
	r.giveUp = r.clientDeadline
	if r.route.Timeout > 0 {
		r.giveUp = m.now.Add(r.route.Timeout)
	}
	r.service = m.catalog.Service(r.route.ServiceAt(hashPosition(msg.CallerID)))
	if r.service == nil {
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNoUpstream, coverageGapRetryAfter)
	}
	if refusal := m.refuseAtStop(r); refusal != nil {
		return refusal
	}
	r.memoryTokens = expectedMemoryTokens(msg)
	r.capacity.returned = m.returnsAfterRefusal(r)
	m.requests[msg.Request] = r
	if msg.Forwarded != nil {
		// The node that received the request counts it in its own part of the budget.
		m.forwardedRequests++
	} else {
		m.budget(r.service.Name).Deposit(m.now)
	}
	return m.send(r)
}

// checkConfig returns a request with its route and its client account according to the
// configuration, or the refusal.
func (m *Model) checkConfig(msg ArriveMsg) (*request, []Cmd) {
	if m.catalog == nil {
		return nil, m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNoConfig, staleConfigRetryAfter)
	}
	route, err := m.catalog.Route(msg.Host, msg.Path)
	if err != nil {
		if !m.configFresh(m.now) {
			return nil, m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonStaleConfig, staleConfigRetryAfter)
		}
		return nil, m.refuse(msg.Request, http.StatusNotFound, ReasonNoRoute, 0)
	}
	r := &request{arrival: msg, arrivedAt: m.now, route: route, triedUpstreams: make(map[fleet.Incarnation]bool), executedOn: make(map[fleet.Incarnation]execution)}
	r.requiresKey = m.catalog.HasAccounts() && !route.Anonymous
	return r, m.checkKey(r)
}

// mayBeAccepted reports whether a request is not certain to be refused. It is if the current
// configuration has no route for it or rejects its key.
func (m *Model) mayBeAccepted(msg ArriveMsg) bool {
	if m.catalog == nil || !m.configFresh(m.now) || m.awaitsComparison(m.now) {
		return true
	}
	_, refusal := m.checkConfig(msg)
	return refusal == nil
}

// checkKey authenticates a request that requires a key. It returns the refusal if the key is
// unknown or the configuration is too old to check it.
func (m *Model) checkKey(r *request) []Cmd {
	if !r.requiresKey {
		return nil
	}
	if by := r.arrival.Forwarded; by != nil && by.Admitted {
		m.takeAdmittance(r, by.Account)
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

// refuse ends a request with an answer that the node generates itself.
func (m *Model) refuse(id RequestID, status int, reason Reason, retryAfter clock.Millis) []Cmd {
	return m.respondOrAbort(id, m.response(id, status, reason, retryAfter), reason)
}

// refuseMissing ends a request that was not executed with 503, because a resource is missing.
func (m *Model) refuseMissing(id RequestID, reason Reason, retryAfter clock.Millis, missing *MissingResource) []Cmd {
	cmd := m.response(id, http.StatusServiceUnavailable, reason, retryAfter)
	cmd.Missing = missing
	return m.respondOrAbort(id, cmd, reason)
}

// refuseRateLimited ends a request that was not executed, because the rate limits of all suitable
// upstreams are used up.
func (m *Model) refuseRateLimited(r *request, retryAfter clock.Millis, refusal *LimitRefusal) []Cmd {
	cmd := m.response(r.arrival.Request, http.StatusServiceUnavailable, ReasonRateLimit, retryAfter)
	cmd.RateLimit = refusal
	return m.respondOrAbort(r.arrival.Request, cmd, ReasonRateLimit)
}

// respondOrAbort ends a request with a complete answer or, if an answer has begun, aborts it: a
// second answer in the same response would make it look complete. Every request ends either here
// or in abort.
func (m *Model) respondOrAbort(id RequestID, answer Cmd, reason Reason) []Cmd {
	if r := m.requests[id]; r != nil && r.answerBegun() {
		return m.abort(id, reason)
	}
	r := m.requests[id]
	cmds := m.endCapacityWait(r, WaitRefused)
	if response, ok := answer.(RespondCmd); ok && response.Status == http.StatusServiceUnavailable {
		m.rememberRefusal(r)
	}
	m.dropRequest(id)
	return append(cmds, answer)
}

// abort ends a request whose answer has begun.
func (m *Model) abort(id RequestID, reason Reason) []Cmd {
	m.dropRequest(id)
	return []Cmd{AbortResponseCmd{Request: id, Reason: reason}}
}

// response builds an answer that the node generates itself. A 503 promises that the request was
// not executed, so it becomes a 502 if it may have been.
func (m *Model) response(id RequestID, status int, reason Reason, retryAfter clock.Millis) RespondCmd {
	if r := m.requests[id]; r != nil && r.executions > 0 && status == http.StatusServiceUnavailable {
		status, reason, retryAfter = http.StatusBadGateway, ReasonAnswerLost, 0
	}
	cmd := RespondCmd{Request: id, Status: status, Reason: reason, RetryAfter: retryAfter, ConfigAge: clock.AgeOf(m.configConfirmedAt, m.now)}
	if r := m.requests[id]; r != nil {
		cmd.Work = r.work.Content
	}
	if m.catalog != nil {
		cmd.Config = m.catalog.Edition()
	}
	return cmd
}

// hashPosition maps client request ids uniformly to numbers from 0 up to 1.
func hashPosition(callerID string) float64 {
	return float64(xxhash.Sum64String(callerID)>>11) / (1 << 53)
}

// expectedMemoryTokens returns the average memory that a generation is expected to use while it
// runs, in tokens.
func expectedMemoryTokens(msg ArriveMsg) float64 {
	return float64(msg.PromptTokens) + answerMemoryShare*msg.expectedAnswerTokens()
}

// expectedAnswerTokens returns the expected length of the answer in tokens; zero if it is unknown.
func (msg ArriveMsg) expectedAnswerTokens() float64 {
	answer := float64(msg.AnswerTokens) * expectedAnswerShare
	if msg.HintTokens > 0 {
		answer = float64(msg.HintTokens)
	}
	if msg.AnswerTokens > 0 {
		answer = min(answer, float64(msg.AnswerTokens))
	}
	return answer
}
