package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// A caller gives a stream up after a pause of this many times its aims, and of
// leastPatience at least. A stream that waits for something to go on with is kept
// until then and patienceMargin longer: cutting it before would take away what
// the caller still waits for.
const (
	aimsOfPatience              = 4
	gapsOfPatience              = 8
	leastPatience  clock.Millis = 2000
	patienceMargin clock.Millis = 600
)

// patience is for how long a caller waits for the next event.
func patience(route *catalog.Route) clock.Millis {
	return max(leastPatience, aimsOfPatience*route.LatencyTarget, gapsOfPatience*route.EventGapTarget) + patienceMargin
}

// waitOrCut keeps a stream that has begun for a while when nothing can take it
// up just now: engines are being loaded, others end and leave room, and the
// budget of repeats is filled again. It is cut only after its caller should have
// left.
func (m *Model) waitOrCut(r *request, reason Reason) []Cmd {
	if r.waitUntil == 0 {
		r.waitUntil = m.now.Add(patience(r.route))
	}
	passing := reason == ReasonNoRoom || reason == ReasonNoHolder || reason == ReasonNoBudget
	if passing && m.now < r.waitUntil {
		r.waitingFor = reason
		r.afterRest = len(m.rests(r)) > 0
		return nil
	}
	return m.cut(r.msg.Request, reason)
}

// resume tries again to send the streams that wait.
func (m *Model) resume() []Cmd {
	var cmds []Cmd
	left := resumeEach
	for _, r := range m.waiting() {
		if r.afterRest && left == 0 {
			continue
		}
		reason := r.waitingFor
		r.waitingFor = ""
		if reason == ReasonNoBudget && !m.budget(r.service.Name).TryWithdraw(m.now) {
			cmds = append(cmds, m.waitOrCut(r, reason)...)
			continue
		}
		next := m.resend(r)
		if r.afterRest && slices.ContainsFunc(next, isSend) {
			left--
		}
		cmds = append(cmds, next...)
	}
	return cmds
}

// waiting returns the streams that wait, the most urgent first.
func (m *Model) waiting() []*request {
	var list []*request
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r := m.requests[id]; r.waitingFor != "" {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(a.priority(), b.priority()) })
	return list
}

// resend sends a request again, if its key is still good.
func (m *Model) resend(r *request) []Cmd {
	if cmds := m.admitKey(r); cmds != nil {
		return cmds
	}
	return m.send(r)
}
