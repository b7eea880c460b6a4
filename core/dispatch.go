package core

import "github.com/hoistjunction/hoistjunction/pool"

// dispatch starts waiting requests while the upstreams have room: first those
// that have lost an upstream half way, then the queue.
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

// start sends a request to upstreams that have room.
func (m *Model) start(l *lane, r *request, chain []*pool.Upstream) {
	if !m.begin(r) {
		m.unknown(r, ReasonAnswerGone)
		return
	}
	if r.dispatched == 0 {
		r.dispatched = m.now
		l.budget.Deposit()
	}
	r.chain = chain
	for _, u := range chain {
		m.pool.Begin(u)
	}
	l.running++
	r.slot = len(m.running)
	m.running = append(m.running, r)
	r.phase = phaseRunning
	if r.route.service() {
		m.call(r)
		return
	}
	m.startGeneration(r)
}

// begin lets a request start. The ledger says yes once for each key; a request
// that goes on after losing an upstream has had its yes.
func (m *Model) begin(r *request) bool {
	if r.begun {
		return true
	}
	if r.key != nil && !r.key.ledger.Begin(r.key.claim.Sequence) {
		return false
	}
	r.begun = true
	return true
}

// unbegin takes begin back, on proof that no upstream has started.
func (m *Model) unbegin(r *request) {
	r.begun = false
	if r.key != nil {
		r.key.ledger.Undo(r.key.claim.Sequence)
	}
}

// pickChain chooses an upstream for each stage, or returns nil when a stage
// has none with room.
func (m *Model) pickChain(l *lane, r *request) []*pool.Upstream {
	if m.policy.Affinity && l.pipeline != nil {
		if chain := m.cachedChain(l, r); chain != nil {
			return chain
		}
	}
	chain := make([]*pool.Upstream, 0, len(l.groups))
	for _, g := range l.groups {
		u, ok := m.pickOne(g, r)
		if !ok {
			return nil
		}
		chain = append(chain, u)
	}
	return chain
}

// pickOne avoids upstreams that have failed the request before, unless there
// are no others.
func (m *Model) pickOne(g *pool.Group, r *request) (*pool.Upstream, bool) {
	pick := m.pool.Pick
	if r.phase == phaseResuming {
		pick = m.pool.PickOverLimit
	}
	u, ok := pick(g.Name(), m.rng, r.tried...)
	if ok || len(r.tried) == 0 || g.Limit() > 0 && g.Len() > 1 {
		return u, ok
	}
	return pick(g.Name(), m.rng)
}

// cachedChain returns the chain that may have the prompt's prefix cached, if
// all of it has room to spare. A hint does not outweigh crowding.
func (m *Model) cachedChain(l *lane, r *request) []*pool.Upstream {
	if len(r.tried) > 0 {
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

// leaveLane gives back the places that a request holds.
func (m *Model) leaveLane(r *request) {
	if !r.holds() {
		return
	}
	for _, u := range r.chain {
		m.pool.End(u)
	}
	if !r.route.service() {
		m.endGeneration(r)
	}
	r.chain = nil
	r.route.lane.running--
	last := len(m.running) - 1
	m.running[r.slot] = m.running[last]
	m.running[r.slot].slot = r.slot
	m.running[last] = nil
	m.running = m.running[:last]
}
