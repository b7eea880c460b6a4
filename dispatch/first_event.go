package dispatch

import (
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
)

// firstEventPatienceShare is the share of a client's patience after which the first attempt of a
// stream without an event is abandoned. It leaves the second attempt as much time as the first.
const firstEventPatienceShare = 0.5

// FirstEventOverdueMsg reports that an attempt has no first event after its FirstEventLimit.
type FirstEventOverdueMsg struct {
	Request RequestID
	Attempt int
}

// AbandonCmd abandons an attempt that still has no first event.
type AbandonCmd struct {
	Request RequestID
	Attempt int
}

func (FirstEventOverdueMsg) dispatchMsg() {}
func (AbandonCmd) dispatchCmd()           {}

// firstEventLimit returns the time without a first event after which an attempt counts as failed;
// zero if it is never abandoned for that. Abandoning adds load to engines that have too much to
// read, so the limit is never below the latency objective, applies to the first attempt alone, and
// leaves an attempt alone whose prediction has not clearly failed.
func (m *Model) firstEventLimit(r *request) clock.Millis {
	if !r.boundsPauses() || !r.route.MayRepeat() || r.route.LatencyTarget <= 0 || r.attempts > 0 || r.answerBegun() {
		return 0
	}
	patience := eventPatience(r.route)
	limit := max(r.route.LatencyTarget, clock.Millis(firstEventPatienceShare*float64(patience)), missingEventFactor*r.predictedFirstEvent)
	if limit >= patience {
		return 0
	}
	return limit
}

// recordFirstEvent records that the engines of an attempt have read its prompt.
func (m *Model) recordFirstEvent(msg FirstEventMsg) []Cmd {
	r := m.inAttempt(msg.Request, msg.Attempt)
	if r == nil {
		return nil
	}
	r.awaitsFirstEvent = false
	// The client's patience begins again with each event.
	r.waitUntil = 0
	m.clearMissingFirstEvent(r)
	for i := range r.reservations {
		h := &r.reservations[i]
		h.upstream.promptTokens -= h.promptTokens
		h.promptTokens = 0
	}
	if r.progress == atNode {
		m.nodes.RecordServed(m.now, r.forwardedTo, r.service.Name)
	}
	return append(m.recordAnswered(r.firstUpstream), m.quarantineCmds(m.quarantine.Answered(m.now, r.work))...)
}

// firstEventOverdue abandons an attempt without a first event if another one can be made.
func (m *Model) firstEventOverdue(msg FirstEventOverdueMsg) []Cmd {
	r := m.inAttempt(msg.Request, msg.Attempt)
	if r == nil {
		return nil
	}
	m.recordMissingFirstEvent(r)
	if r.migrating || !m.canReplaceAttempt(r) {
		return nil
	}
	for _, p := range r.chain {
		// Any engine of the chain may be the slow one.
		r.triedUpstreams[p.ID] = true
	}
	return []Cmd{AbandonCmd(msg)}
}

// canReplaceAttempt reports whether another attempt may be made: another upstream may execute the
// request, its time and its part of the retry budget allow it, another chain exists, and no waiting
// request would be sent before it.
func (m *Model) canReplaceAttempt(r *request) bool {
	if r.progress != atUpstream || m.isLastUpstream(r, r.firstUpstream) || r.timeLeft(m.now) < r.route.LatencyTarget {
		return false
	}
	holders := m.holders(r, m.byService[r.service.Name], (*upstream).healthy, r.firstUpstream.entry.ID)
	if _, err := chain.Build(r.service.Pipeline.Layers, r.memoryTokens, m.dataCentre, holders); err != nil {
		return false
	}
	if m.precededInLane(r, engineLane) || m.precededInLane(r, retryLane) || !m.takeRetry(r) {
		return false
	}
	// The retry is charged when the attempt has failed.
	m.budget(r.service.Name).Refund(m.now)
	return true
}
