package core

import "github.com/hoistjunction/hoistjunction/pool"

// dispatch starts waiting requests while the upstreams have free capacity: first requests whose
// upstream failed during execution, then the queue.
func (m *Model) dispatch(l *lane) {
	for len(l.resuming) > 0 {
		r := l.resuming[0]
		if r.phase != phaseResuming {
			l.resuming = l.resuming[1:]
			continue
		}
		chain := m.pickChain(l, r)
		if chain == nil {
			return
		}
		l.resuming = l.resuming[1:]
		m.start(l, r, chain)
	}
	m.dispatchQueue(l)
}

func (m *Model) dispatchQueue(l *lane) {
	for {
		r, ok := l.queue.Peek()
		if !ok {
			return
		}
		if r.phase != phaseQueued {
			l.queue.Pop()
			continue
		}
		chain := m.pickChain(l, r)
		if chain == nil {
			return
		}
		l.queue.Pop()
		m.start(l, r, chain)
	}
}

// start sends a request to upstreams that have free capacity.
func (m *Model) start(l *lane, r *request, chain []*pool.Upstream) {
	if !m.markBegun(r) {
		m.endUnknown(r, ReasonAnswerGone)
		return
	}
	if r.dispatchedAt == 0 {
		r.dispatchedAt = m.now
		l.budget.Deposit()
	}
	r.chain = chain
	for _, u := range chain {
		m.pool.Begin(u)
	}
	l.running++
	r.runningIndex = len(m.running)
	m.running = append(m.running, r)
	r.phase = phaseRunning
	if r.route.isService() {
		m.call(r)
		return
	}
	m.startGeneration(r)
}

// markBegun records that a request begins to execute, and reports whether it may. The ledger allows
// this once for each key. A request that resumes after an upstream failure has begun already.
func (m *Model) markBegun(r *request) bool {
	if r.begun {
		return true
	}
	if r.key != nil && !r.key.ledger.Begin(r.key.claim.Sequence) {
		return false
	}
	r.begun = true
	return true
}

// undoBegun reverts markBegun. The caller must have proof that no upstream has started to execute
// the request.
func (m *Model) undoBegun(r *request) {
	r.begun = false
	if r.key != nil {
		r.key.ledger.UndoBegin(r.key.claim.Sequence)
	}
}

// pickChain chooses an upstream for each stage. It returns nil when a stage has no upstream with
// free capacity.
func (m *Model) pickChain(l *lane, r *request) []*pool.Upstream {
	if m.policy.Affinity && l.pipeline != nil {
		if chain := m.cachedChain(l, r); chain != nil {
			return chain
		}
	}
	chain := make([]*pool.Upstream, 0, len(l.groups))
	for _, g := range l.groups {
		u, ok := m.pickUpstream(g, r)
		if !ok {
			return nil
		}
		chain = append(chain, u)
	}
	return chain
}

// pickUpstream avoids upstreams that have failed the request before, unless the group has no
// others that are available: these may be full, and the request waits for them.
func (m *Model) pickUpstream(g *pool.Group, r *request) (*pool.Upstream, bool) {
	pick := m.pool.Pick
	if r.phase == phaseResuming {
		pick = m.pool.PickOverLimit
	}
	u, ok := pick(g.Name(), m.rng, r.failed...)
	if ok || len(r.failed) == 0 || g.HasAvailable(r.failed...) {
		return u, ok
	}
	return pick(g.Name(), m.rng)
}

// cachedChain returns the chain that may have the prompt's prefix cached. It returns nil when an
// upstream of the chain is more than half full: a cache hit does not outweigh the slower steps of a
// busy upstream.
func (m *Model) cachedChain(l *lane, r *request) []*pool.Upstream {
	if len(r.failed) > 0 {
		return nil
	}
	chain := l.affinity.get(m.now, r.spec.Prompt)
	for _, u := range chain {
		if !u.HasCapacity() || float64(u.InFlight()) > u.Limit()/2 {
			return nil
		}
	}
	return chain
}

// releaseSlots releases the upstream slots that a request holds, and removes it from the running
// requests.
func (m *Model) releaseSlots(r *request) {
	if !r.holdsSlots() {
		return
	}
	for _, u := range r.chain {
		m.pool.End(u)
	}
	if !r.route.isService() {
		m.endGeneration(r)
	}
	r.chain = nil
	r.route.lane.running--
	last := len(m.running) - 1
	m.running[r.runningIndex] = m.running[last]
	m.running[r.runningIndex].runningIndex = r.runningIndex
	m.running[last] = nil
	m.running = m.running[:last]
}
