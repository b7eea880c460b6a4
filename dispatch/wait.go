package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// resumeWait is for how long a stream that has begun waits for a chain to go on
// with. Its caller gives it up after two seconds without an event, of which the
// search for the cause has taken some.
const resumeWait clock.Millis = 1500

// waitOrCut keeps a stream that has begun for a while when nothing can take it
// up just now: engines are being loaded, others end and leave room, and the
// budget of repeats is filled again. A stream is cut only when that has not
// helped.
func (m *Model) waitOrCut(r *request, reason Reason) []Cmd {
	if r.waitUntil == 0 {
		r.waitUntil = m.now.Add(resumeWait)
	}
	passing := reason == ReasonNoRoom || reason == ReasonNoHolder || reason == ReasonNoBudget
	if passing && m.now < r.waitUntil {
		r.waitingFor = reason
		return nil
	}
	m.forget(r.msg.Request)
	return []Cmd{CutCmd{Request: r.msg.Request, Reason: reason}}
}

// resume tries again to send the streams that wait.
func (m *Model) resume() []Cmd {
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if r.waitingFor == "" {
			continue
		}
		reason := r.waitingFor
		r.waitingFor = ""
		if reason == ReasonNoBudget && !m.budget(r.service.Name).Spend(m.now) {
			cmds = append(cmds, m.waitOrCut(r, reason)...)
			continue
		}
		cmds = append(cmds, m.resend(r)...)
	}
	return cmds
}

// resend sends a request again, if its key is still good.
func (m *Model) resend(r *request) []Cmd {
	if cmds := m.admitKey(r); cmds != nil {
		if r.events > 0 {
			return m.waitOrCut(r, ReasonStaleConfig)
		}
		return cmds
	}
	return m.send(r)
}
