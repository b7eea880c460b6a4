package core

import "github.com/hoistjunction/hoistjunction/clock"

// How often the node does what it does from time to time. Each is stretched
// by a random part, so that nodes do not fall into step.
const (
	pollListInterval  clock.Millis = 1000
	pollHeadInterval  clock.Millis = 1000
	heartbeatInterval clock.Millis = 500
	pollNodesInterval clock.Millis = 10_000
	registerInterval  clock.Millis = 30_000
)

// timer is due from time to time.
type timer struct{ nextAt clock.Millis }

// due reports whether the timer is due, and sets it anew.
func (t *timer) due(m *Model, every clock.Millis) bool {
	if m.now < t.nextAt {
		return false
	}
	t.nextAt = m.now.Add(every + m.jitter(every/4))
	return true
}

// timers are what a node does from time to time.
type timers struct {
	pollList       timer
	pollHead       timer
	sendHeartbeats timer
	pollNodes      timer
	register       timer
}

func (m *Model) tick() {
	m.pool.StartProbes(m.now)
	m.expireRunning()
	m.expireClaims()
	m.expireRelays()
	m.flushClaims()
	for _, l := range m.lanes {
		m.expireQueued(l)
		m.expireResuming(l)
		m.dispatch(l)
	}
	m.answerProposals()
	m.runTimers()
	m.tickDrain()
}

func (m *Model) runTimers() {
	t := &m.timers
	if t.pollList.due(m, pollListInterval) {
		m.addCmd(&PollListCmd{})
	}
	if t.pollHead.due(m, pollHeadInterval) {
		m.addCmd(&PollHeadCmd{})
	}
	if t.pollNodes.due(m, pollNodesInterval) {
		m.addCmd(&PollNodesCmd{})
		m.members.Expire(m.now)
	}
	if t.register.due(m, registerInterval) {
		m.addCmd(&RegisterCmd{Node: m.Self()})
	}
	if t.sendHeartbeats.due(m, heartbeatInterval) {
		m.sendHeartbeats()
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
		m.endWithoutUpstream(r)
	}
}
