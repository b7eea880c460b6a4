package core

import (
	"slices"
)

// stepFailed handles the report that a stage did not execute a step.
func (m *Model) stepFailed(msg StepFailedMsg) {
	u := m.pool.Get(msg.Upstream)
	r := m.requests[msg.Request]
	if u == nil || !r.awaitsStep(u, msg.Generation, msg.Position) {
		m.stats.Stale++
		return
	}
	if msg.Leaving {
		m.markLeaving(msg.Upstream)
	}
	if msg.Fault == StepNotSent {
		m.pool.RecordFailure(m.now, u, false)
	}
	r.failed = append(r.failed, u)
	notExecuted := msg.Fault == StepNotSent || msg.Fault == StepRefused
	if notExecuted && r.stage == 0 && len(r.tokens) == 0 && (r.generation == 1 || r.noRepeat()) {
		m.undoBegun(r)
	}
	m.resume(r)
}

// upstreamDown handles the loss of the connection to an engine, and resumes every request with a
// stage at that engine.
func (m *Model) upstreamDown(msg UpstreamDownMsg) {
	u := m.pool.Get(msg.Upstream)
	if u == nil {
		return
	}
	m.pool.RecordFailure(m.now, u, false)
	var affected []*request
	for _, r := range m.running {
		if !r.route.isService() && slices.Contains(r.chain, u) {
			affected = append(affected, r)
		}
	}
	for _, r := range affected {
		if r.phase == phaseRunning {
			r.failed = append(r.failed, u)
			m.resume(r)
		}
	}
}

// mayResume reports whether a new generation is allowed. A request that must not be executed twice
// may not restart after it has begun and before it has emitted a token, because that would be a
// second execution. After the first token it may continue.
func (m *Model) mayResume(r *request) bool {
	if r.generation >= m.policy.MaxGenerations {
		return false
	}
	return !r.noRepeat() || !r.begun || len(r.tokens) > 0
}

// resume queues a request for a new generation after a stage has failed, or ends it if no new
// generation is allowed.
func (m *Model) resume(r *request) {
	if !m.mayResume(r) {
		m.endWithoutUpstream(r)
		return
	}
	m.redispatch(r)
}

// redispatch releases a request's upstreams and queues it for others. It is placed ahead of the
// lane's queue, because it has waited there before.
func (m *Model) redispatch(r *request) {
	l := r.route.lane
	m.releaseSlots(r)
	r.phase = phaseResuming
	l.resuming = append(l.resuming, r)
	m.dispatch(l)
}

func (m *Model) endWithoutUpstream(r *request) {
	if r.begun {
		m.endUnanswered(r, ReasonUpstreamLost)
		return
	}
	m.refuse(r, ReasonNotSent, minRetryAfter+m.jitter(minRetryAfter))
}

// endGeneration ends the current generation at each stage, which frees the request's caches.
func (m *Model) endGeneration(r *request) {
	for _, u := range r.chain {
		m.addCmd(&EndCmd{
			Upstream:   u.Name(),
			Address:    u.Listing().Address,
			Request:    r.id,
			Generation: r.generation,
		})
	}
}
