package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// startPatience is for how long after its start a node lets requests wait that come
// before it knows the configuration and the list. With 295 nodes that start at the same
// moment all knew both within 0.22 s. An aim of 0.5 s and more leaves that much.
const startPatience clock.Millis = 400

// early is a request that has come before the node could decide on it.
type early struct {
	msg ArriveMsg
	at  clock.Millis
}

// waitsForStart tells whether a request is to wait until the node knows what it needs.
// The clock begins with the process.
func (m *Model) waitsForStart() bool { return !m.informed() && m.now < startPatience }

// informed tells whether the node knows a configuration, a list, and the requests that
// were in quarantine.
func (m *Model) informed() bool {
	return m.catalog != nil && len(m.upstreams) > 0 && !m.awaitsQuarantine
}

// takeEarly takes up the requests that have waited for the node's start, once it knows
// what it needs or will not know it soon.
func (m *Model) takeEarly() []Cmd {
	if len(m.early) == 0 || m.waitsForStart() {
		return nil
	}
	waiting := m.early
	m.early = nil
	var cmds []Cmd
	for _, e := range waiting {
		if e.msg.Remaining > 0 {
			e.msg.Remaining = max(e.msg.Remaining-m.now.Sub(e.at), 1)
		}
		cmds = append(cmds, m.arrive(e.msg)...)
	}
	return cmds
}

// forgetEarly drops a waiting request whose caller has left.
func (m *Model) forgetEarly(id RequestID) {
	m.early = slices.DeleteFunc(m.early, func(e early) bool { return e.msg.Request == id })
}
