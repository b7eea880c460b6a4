package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// A caller gives a stream up after a pause of this many times its aims, and of
// minPatience at least. A stream that waits for something to go on with is kept
// until then and patienceMargin longer: cutting it before would take away what
// the caller still waits for.
const (
	patienceAims                 = 4
	patienceGapAims              = 8
	minPatience     clock.Millis = 2000
	patienceMargin  clock.Millis = 600
)

// clientPatience is for how long a caller waits for the next event.
func clientPatience(route *catalog.Route) clock.Millis {
	return max(minPatience, patienceAims*route.LatencyTarget, patienceGapAims*route.EventGapTarget) + patienceMargin
}

// waitOrAbort keeps a stream that has begun for a while when nothing can take it
// up just now: engines are being loaded, others end and leave room, and the
// budget of repeats is filled again. It is cut only after its caller should have
// left.
func (m *Model) waitOrAbort(r *request, reason Reason) []Cmd {
	if r.waitUntil == 0 {
		r.waitUntil = m.now.Add(clientPatience(r.route))
	}
	passing := reason == ReasonNoMemory || reason == ReasonNoHolder || reason == ReasonNoRetryBudget
	if passing && m.now < r.waitUntil {
		r.waitReason = reason
		r.afterBackOff = len(m.backOffEnds(r)) > 0
		return nil
	}
	return m.abort(r.arrival.Request, reason)
}

// resumeStreams tries again to send the streams that wait.
func (m *Model) resumeStreams() []Cmd {
	var cmds []Cmd
	left := resumesPerTick
	for _, r := range m.waitingStreams() {
		if r.afterBackOff && left == 0 {
			continue
		}
		reason := r.waitReason
		r.waitReason = ""
		if reason == ReasonNoRetryBudget && !m.budget(r.service.Name).TryWithdraw(m.now) {
			cmds = append(cmds, m.waitOrAbort(r, reason)...)
			continue
		}
		next := m.resend(r)
		if r.afterBackOff && slices.ContainsFunc(next, isSendCmd) {
			left--
		}
		cmds = append(cmds, next...)
	}
	return cmds
}

// waitingStreams returns the streams that wait, the most urgent first.
func (m *Model) waitingStreams() []*request {
	var list []*request
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r := m.requests[id]; r.waitReason != "" {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(a.priority(), b.priority()) })
	return list
}

// resend sends a request again, if its key is still good.
func (m *Model) resend(r *request) []Cmd {
	if cmds := m.checkKey(r); cmds != nil {
		return cmds
	}
	return m.send(r)
}
