package dispatch

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/recovery"
)

// Streams whose route bounds the pause between events do not leave a lost engine one by one as
// their sessions report them: they gather for a moment, leave in order, and are spread over the
// engines that take over.
const (
	// recoveryGather is how long the first stream of a lost engine waits for the others. The
	// sessions of a node respond to a RecheckAttemptCmd within a ms or two.
	recoveryGather clock.Millis = 5
	// recoveryInterval is the pause until held streams are considered again: about the time in
	// which an engine reads one prompt.
	recoveryInterval clock.Millis = 20
	// recoveryQueueShare is the share of the largest pause for which an engine may be busy with
	// moved prompts when it takes over another stream. Detection takes the other half, so a stream
	// behind a longer queue would be late anyway and is left to wait where more urgent ones can
	// overtake it.
	recoveryQueueShare = 0.5
	// recoveryHoldShare is the share of a client's patience after which a stream is no longer held
	// back. The rest is left for reading its prompt and for another attempt.
	recoveryHoldShare = 0.5
	// departHold is how long streams that leave a departing engine are held back. They begin to
	// leave 1.2 s after the departure became known and the engine serves for two seconds at least,
	// so 0.4 s remain for those that are left.
	departHold clock.Millis = 400
)

// Recovery states how a stream was moved off an engine, for the log.
type Recovery struct {
	// LateIn is the time until the pause of the stream counts as late; negative if it is late.
	LateIn clock.Millis
	// Held is how long the stream waited for its turn.
	Held clock.Millis
	// ReadTime is the longest time in ms for which an engine that takes over is busy with prompts
	// moved before.
	ReadTime float64
	// Nodes is the number of nodes that are assumed to move streams too.
	Nodes int
}

// RecoverCmd requests a RecoverMsg after a time.
type RecoverCmd struct{ After clock.Millis }

// RecoverMsg makes the model move the streams that wait to leave engines.
type RecoverMsg struct{}

func (RecoverCmd) dispatchCmd() {}
func (RecoverMsg) dispatchMsg() {}

// boundsPauses reports whether a request is a stream through engines whose route bounds the pause
// between events. Other requests are moved as they are reported.
func (r *request) boundsPauses() bool {
	return r.service.Pipeline != nil && r.route.Kind == catalog.Streaming && r.route.EventGapTarget > 0
}

// recovers reports whether the next chain of a request takes over a stream that has begun.
func (r *request) recovers() bool {
	return r.boundsPauses() && (r.answerBegun() || !r.migratesFrom.IsZero())
}

// recordPause records how far a stream has come and when its pause began. A time of 0 means that
// the session did not report the last event; the pause then counts from now.
func (r *request) recordPause(now, lastEventAt clock.Millis, events int) {
	r.streamedEvents = max(r.streamedEvents, events)
	r.lastEventAt = lastEventAt
	if lastEventAt == 0 {
		r.lastEventAt = now
	}
}

// pauseLateAt returns when the pause of a stream counts as late.
func (r *request) pauseLateAt() clock.Millis { return r.lastEventAt.Add(r.route.EventGapTarget) }

// holdUntil returns until when a stalled stream may be held back.
func (r *request) holdUntil() clock.Millis {
	patience := eventPatience(r.route)
	return r.lastEventAt.Add(clock.Millis(recoveryHoldShare * float64(patience)))
}

// awaitMigration queues a running stream that must leave an engine.
func (m *Model) awaitMigration(r *request, avoided fleet.Incarnation, lateAt, holdUntil clock.Millis) []Cmd {
	if !r.mayMigrateFrom(avoided) {
		return nil
	}
	m.recoveries.Add(recovery.Stream{
		ID: uint64(r.arrival.Request), Attempt: r.attempts, Avoided: avoided, Priority: r.priority(),
		LateAt: lateAt, WaitingSince: m.now, HoldUntil: holdUntil,
	})
	return m.wakeRecovery(recoveryGather)
}

// awaitResume queues a stream whose attempt has failed. Its retry is charged already and refunded
// if it is never sent.
func (m *Model) awaitResume(r *request) []Cmd {
	r.progress = awaitingTurn
	r.hasUnsentRetry, r.unsentRetry = true, m.budget(r.service.Name).LastWithdrawal(m.now)
	m.recoveries.Add(recovery.Stream{
		ID: uint64(r.arrival.Request), Attempt: r.attempts, Priority: r.priority(),
		LateAt: r.pauseLateAt(), WaitingSince: m.now, HoldUntil: r.holdUntil(),
	})
	return m.wakeRecovery(recoveryGather)
}

// wakeRecovery requests a RecoverMsg unless an earlier one is due.
func (m *Model) wakeRecovery(after clock.Millis) []Cmd {
	at := m.now.Add(after)
	if m.recoveryAt > m.now && m.recoveryAt <= at {
		return nil
	}
	m.recoveryAt = at
	return []Cmd{RecoverCmd{After: after}}
}

// recoverOverdue moves the waiting streams at a tick if their RecoverMsg is overdue, as after a
// suspension of the VM.
func (m *Model) recoverOverdue() []Cmd {
	if m.recoveries.Len() == 0 || m.now < m.recoveryAt {
		return nil
	}
	return m.recoverStreams()
}

// recoverStreams moves the waiting streams in their order, as far as the engines that take over
// may have more prompts.
func (m *Model) recoverStreams() []Cmd {
	var cmds []Cmd
	for _, s := range m.recoveries.Ordered(m.now) {
		r := m.requests[RequestID(s.ID)]
		if r == nil || r.attempts != s.Attempt || r.progress != awaitedProgress(s) {
			// The request has ended, or its attempt has failed or been replaced meanwhile.
			m.recoveries.Remove(s.ID)
			continue
		}
		cmds = append(cmds, m.recoverStream(r, s)...)
	}
	if m.recoveries.Len() > 0 {
		cmds = append(cmds, m.wakeRecovery(recoveryInterval)...)
	}
	return cmds
}

// awaitedProgress returns where a request stands as long as its place among the streams that wait to
// leave engines holds: without an attempt if that has failed, or else at the engine that it is to leave.
func awaitedProgress(s recovery.Stream) progress {
	if s.Avoided.IsZero() {
		return awaitingTurn
	}
	return atUpstream
}

// recoverStream moves one stream, unless all engines that could take it over are too busy with
// prompts moved before.
func (m *Model) recoverStream(r *request, s recovery.Stream) []Cmd {
	r.migratesFrom, r.skipsBusyEngines = s.Avoided, true
	defer func() { r.migratesFrom, r.skipsBusyEngines = fleet.Incarnation{}, false }()
	parts, err := m.recoveryChain(r)
	if err != nil {
		r.skipsBusyEngines = false
		parts, err = m.recoveryChain(r)
		if err == nil && m.now < s.HoldUntil {
			return nil
		}
	}
	m.recoveries.Remove(s.ID)
	report := &Recovery{LateIn: s.LateAt.Sub(m.now), Held: m.now.Sub(s.WaitingSince), ReadTime: m.readTime(r, parts), Nodes: m.assumedNodes()}
	if s.Avoided.IsZero() {
		return m.resumeRecovered(r, report)
	}
	if err != nil {
		return nil
	}
	return m.startMigration(r, s.Avoided, parts, report)
}

// recoveryChain builds the chain over which a stream continues.
func (m *Model) recoveryChain(r *request) ([]chain.Stage, error) {
	if r.migratesFrom.IsZero() {
		return m.chainFor(r)
	}
	return m.detourChain(r, r.migratesFrom)
}

// resumeRecovered sends a stream whose attempt has failed again.
func (m *Model) resumeRecovered(r *request, report *Recovery) []Cmd {
	r.progress, r.hasUnsentRetry = undecided, false
	cmds := m.resend(r)
	for i, cmd := range cmds {
		if send, ok := cmd.(SendCmd); ok && send.Request == r.arrival.Request {
			send.Recovery = report
			cmds[i] = send
		}
	}
	if r.progress == ended {
		m.budget(r.service.Name).Return(m.now, r.unsentRetry)
	}
	return cmds
}

// assumedNodes returns the number of nodes that are assumed to do as this one does. A node that has no
// count yet uses the number of nodes that report their usage to it.
func (m *Model) assumedNodes() int { return max(m.nodeCount.total, m.usagePeers+1) }

// recoveryEngine returns the values of an engine that the backlog needs.
func (m *Model) recoveryEngine(u *upstream) recovery.Engine {
	return recovery.Engine{ID: u.entry.ID, Rate: m.readRate(u), Nodes: m.assumedNodes()}
}

// readRate returns how many prompt tokens an engine reads per ms; infinite if unknown.
func (m *Model) readRate(u *upstream) float64 {
	layers := u.held().Len()
	accelerator, known := u.pipeline.Accelerators[u.entry.Accelerator]
	if !known || layers == 0 {
		return math.Inf(1)
	}
	prompt, _ := u.pipeline.MeanTokens()
	rate := u.pipeline.PromptRate(accelerator, layers, batchShare*u.streams(u.memory-m.freeMemory(u))) * prompt
	if read := u.pipeline.ReadTime(accelerator, layers); read > 0 {
		rate = min(rate, 1/read)
	}
	return rate / max(u.slowdown, 1)
}

// tooBusyToRecover reports whether an engine is to be left out of the chain of a stream that moves,
// because it has too many moved prompts to read. An engine that the stream uses already has its
// tokens in memory.
func (m *Model) tooBusyToRecover(r *request, u *upstream) bool {
	if !r.skipsBusyEngines || r.passesThrough(u.entry.ID) {
		return false
	}
	return m.backlog.ReadTime(m.now, m.recoveryEngine(u)) > recoveryQueueShare*float64(r.route.EventGapTarget)
}

// recoveryCost returns the cost of the moved prompts that an engine has to read first, in ms per
// token. An engine that reads them for the whole largest pause costs as much as generating a token
// in all layers. Requests that take over no stream have no such cost.
//
// The prompts consist of those that the backlog holds and of those that other nodes move at this
// moment. If all nodes move one stream to the engine, this one has a place among them that differs
// between nodes and engines. Without it, all nodes would begin with the same engine.
func (m *Model) recoveryCost(r *request, u *upstream) float64 {
	if !r.recovers() || r.passesThrough(u.entry.ID) {
		return 0
	}
	engine := m.recoveryEngine(u)
	placeTime := u.recoveryPlace * float64(engine.Nodes) * r.unreadTokens() / engine.Rate
	return m.fastestTokenTime[r.service.Name] * (m.backlog.ReadTime(m.now, engine) + placeTime) / float64(r.route.EventGapTarget)
}

// recoveryPlace returns a number from 0 up to 1 that is fixed for a node and an engine.
func recoveryPlace(seed uint64, id fleet.Incarnation) float64 {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(id.String()))).Float64()
}

// readTime returns the longest time in ms for which an engine that a stream moves to is busy with
// prompts moved before.
func (m *Model) readTime(r *request, parts []chain.Stage) float64 {
	longest := 0.0
	for _, p := range parts {
		if u := m.upstreams[p.ID]; u != nil && !r.passesThrough(p.ID) {
			longest = max(longest, m.backlog.ReadTime(m.now, m.recoveryEngine(u)))
		}
	}
	return longest
}

// addToBacklog adds the tokens that the new engines of a moved stream read again to the backlog. It must be
// called while r.chain is still the former chain.
func (m *Model) addToBacklog(r *request, parts []chain.Stage) {
	r.backlogEngines = r.backlogEngines[:0]
	if !r.recovers() {
		return
	}
	for _, p := range parts {
		if u := m.upstreams[p.ID]; u != nil && !r.passesThrough(p.ID) {
			m.backlog.Add(m.now, m.recoveryEngine(u), r.unreadTokens())
			r.backlogEngines = append(r.backlogEngines, p.ID)
		}
	}
}

// removeFromBacklog removes the tokens of a migration that was refused.
func (m *Model) removeFromBacklog(r *request) {
	for _, id := range r.backlogEngines {
		if u := m.upstreams[id]; u != nil && u.pipeline != nil {
			m.backlog.Remove(m.now, m.recoveryEngine(u), r.unreadTokens())
		}
	}
	r.backlogEngines = r.backlogEngines[:0]
}

// scheduleDeparture queues a stream that must leave an engine before it terminates.
func (m *Model) scheduleDeparture(r *request, id fleet.Incarnation) []Cmd {
	// The stream still flows: its pause begins when it moves.
	r.lastEventAt = m.now
	return m.awaitMigration(r, id, r.pauseLateAt(), m.departingSince[id].Add(departDelay+departHold))
}
