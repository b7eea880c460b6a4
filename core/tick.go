package core

import "github.com/hoistjunction/hoistjunction/clock"

// How often the node does what it does from time to time. Each is stretched
// by a random part, so that nodes do not fall into step.
const (
	listEvery     clock.Millis = 1000
	headEvery     clock.Millis = 1000
	beatEvery     clock.Millis = 500
	nodesEvery    clock.Millis = 10_000
	registerEvery clock.Millis = 30_000
)

// timer is due from time to time.
type timer struct{ at clock.Millis }

// due reports whether the timer is due, and sets it anew.
func (t *timer) due(m *Model, every clock.Millis) bool {
	if m.now < t.at {
		return false
	}
	t.at = m.now.Add(every + m.jitter(every/4))
	return true
}

// timers are what a node does from time to time.
type timers struct {
	list     timer
	head     timer
	beat     timer
	nodes    timer
	register timer
}

func (m *Model) tick() {
	m.pool.StartProbes(m.now)
	m.timeOutSteps()
	m.expireClaims()
	m.expireRelays()
	m.flushClaims()
	for _, l := range m.lanes {
		m.expire(l)
		m.expireResuming(l)
		m.dispatch(l)
	}
	m.answerProposals()
	m.tickTimers()
	m.tickDrain()
}

func (m *Model) tickTimers() {
	t := &m.timers
	if t.list.due(m, listEvery) {
		m.do(&PollListCmd{})
	}
	if t.head.due(m, headEvery) {
		m.do(&PollHeadCmd{})
	}
	if t.nodes.due(m, nodesEvery) {
		m.do(&PollNodesCmd{})
		m.members.Expire(m.now)
	}
	if t.register.due(m, registerEvery) {
		m.do(&RegisterCmd{Node: m.Self()})
	}
	if t.beat.due(m, beatEvery) {
		m.beat()
	}
}

// expireResuming ends requests that found no other upstream in time.
func (m *Model) expireResuming(l *lane) {
	var late []*request
	kept := l.resuming[:0]
	for _, r := range l.resuming {
		if r.phase != phaseResuming {
			continue
		}
		if m.now >= r.deadline {
			late = append(late, r)
			continue
		}
		kept = append(kept, r)
	}
	clear(l.resuming[len(kept):])
	l.resuming = kept
	for _, r := range late {
		m.giveUp(r)
	}
}
