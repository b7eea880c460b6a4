package core

import (
	"slices"
)

// stepFailed deals with a stage that has not run a step.
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
	provenIdle := msg.Fault == StepNotSent || msg.Fault == StepRefused
	if provenIdle && r.stage == 0 && len(r.tokens) == 0 && (r.generation == 1 || r.noRepeat()) {
		m.undoBegun(r)
	}
	m.resume(r)
}

// upstreamDown resumes every request that has a stage at an engine whose
// stream has broken.
func (m *Model) upstreamDown(msg UpstreamDownMsg) {
	u := m.pool.Get(msg.Upstream)
	if u == nil {
		return
	}
	m.pool.RecordFailure(m.now, u, false)
	var hit []*request
	for _, r := range m.running {
		if !r.route.isService() && slices.Contains(r.chain, u) {
			hit = append(hit, r)
		}
	}
	for _, r := range hit {
		if r.phase == phaseRunning {
			r.failed = append(r.failed, u)
			m.resume(r)
		}
	}
}

// mayResume reports whether a new generation is allowed. A marked request that
// has begun, and has emitted nothing, is not started afresh: that would be a
// repeat. Once it has emitted, going on is not.
func (m *Model) mayResume(r *request) bool {
	if r.generation >= m.policy.MaxGenerations {
		return false
	}
	return !r.noRepeat() || !r.begun || len(r.tokens) > 0
}

// resume puts a request that has lost a stage in line for a new generation.
func (m *Model) resume(r *request) {
	if !m.mayResume(r) {
		m.endWithoutUpstream(r)
		return
	}
	m.redispatch(r)
}

// redispatch takes a request off its upstreams and puts it in line for others,
// before the queue: it has had its turn there.
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

// endGeneration frees the request's caches at its stages.
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
