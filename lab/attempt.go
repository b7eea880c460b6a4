package lab

import (
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Durations in a node's relay, as in relay/stall.go.
const (
	// networkDelay is the one-way delay of a request or response between a node and an engine.
	networkDelay clock.Millis = 1
	// firstEventStallAfter and stallAfter are how long a stream waits for its first and for a
	// later event before the node probes the engines of its chain. probeTimeout is how long the
	// node waits for a probe's answer, and stallRecheckInterval the interval between checks of
	// a stalled stream.
	firstEventStallAfter clock.Millis = 220
	stallAfter           clock.Millis = 110
	probeTimeout         clock.Millis = 160
	stallRecheckInterval clock.Millis = 200
	// minReportWait is the least time for which a node waits for the answer of an engine while a
	// stream is stalled.
	minReportWait clock.Millis = 60
	// slowStreamAfter is how long a stream must wait for an event before it leaves a slow
	// engine.
	slowStreamAfter clock.Millis = 400
	// abandonAfter is how long a stream may go without an event before the attempt fails.
	abandonAfter clock.Millis = 1600
	// engineAbortAfter is how long an engine keeps a stream open that waits for a crashed
	// engine.
	engineAbortAfter clock.Millis = 2500
)

const (
	// slowdownThreshold is the slowdown factor from which an engine counts as slow.
	slowdownThreshold = 2.5
	// maxEventBatch bounds how many events of a stream are simulated in one step.
	maxEventBatch = 8
)

// hop is one stage of an attempt's chain.
type hop struct {
	engine *engine
	layers fleet.LayerRange
}

// attempt is one attempt of a request, as seen by its node and by the engines of its chain.
type attempt struct {
	world   *world
	session *session
	cmd     dispatch.SendCmd
	hops    []hop
	// reservedTokens is the memory that the attempt reserves in each layer, in tokens.
	reservedTokens float64
	// lastEventAt is the time of the last event, or of sending before the first event.
	lastEventAt clock.Millis
	// sentAt is the node's uptime when the attempt was sent, and responseStarted reports
	// whether the first engine has begun its response.
	sentAt          clock.Millis
	responseStarted bool
	finished        bool
	// stalledOn is the crashed engine that the stream waits for, or nil. planVersion counts the
	// schedules made for the stream; scheduled steps of an older version are ignored.
	stalledOn   *engine
	planVersion int
}

// usesRemovedLayers reports whether the stream uses layers that the engine no longer offers.
func (a *attempt) usesRemovedLayers(e *engine) bool {
	return slices.ContainsFunc(a.hops, func(h hop) bool { return h.engine == e && !e.held.Covers(h.layers) })
}

// send sends a request to the first engine of its chain.
func (s *session) send(cmd dispatch.SendCmd) {
	w := s.node.world
	w.result.EngineAttempts++
	a := &attempt{world: w, session: s, cmd: cmd, reservedTokens: s.caller.totalTokens(), lastEventAt: w.now, sentAt: s.node.uptime()}
	s.attempt = a
	a.watchFirstEvent()
	if !chain.Valid(w.pipeline.Layers, cmd.Chain) {
		w.result.violate("layers", "chain does not execute each layer exactly once")
	}
	w.after(networkDelay+s.node.repeatDelay(cmd.Attempt), a.arrive)
}

// arrive delivers the attempt to its first engine, which accepts or refuses it.
func (a *attempt) arrive() {
	w := a.world
	if a.finished || !a.session.node.running {
		return
	}
	if a.session.node.links == linksSilent {
		w.after(connectTimeout, func() { a.fail(dispatch.CauseNotSent, "") })
		return
	}
	first := w.engineAt[a.cmd.Address]
	switch {
	case first == nil || !first.running:
		a.fail(dispatch.CauseNotSent, "")
		return
	case first.id != a.cmd.Upstream:
		a.session.node.noteReplaced(a.cmd.Upstream, a.cmd.Address)
		a.fail(dispatch.CauseMisdirected, "")
		return
	}
	w.countArrival(a.session)
	first.checkBackOff(a.session.node)
	first.recordArrival(a.session.node)
	if first.refusesNew() {
		first.requestBackOff(a.session.node)
		first.sendLimit(a.session.node, a.sentAt)
		a.fail(dispatch.CauseFull, "")
		return
	}
	if cause, faultyAddress, ok := a.reserveChain(a.cmd.Chain); !ok {
		first.sendLimit(a.session.node, a.sentAt)
		a.fail(cause, faultyAddress)
		return
	}
	a.startStream()
}

// reserveChain reserves memory on all engines of a chain. If an engine cannot take its stage,
// reserveChain returns the cause and that engine's address, and reserves nothing.
func (a *attempt) reserveChain(stages []chain.Stage) (cause dispatch.Cause, faultyAddress string, ok bool) {
	var hops []hop
	for _, p := range stages {
		e := a.world.engineAt[p.Address]
		if e == nil || !e.running {
			return dispatch.CauseFull, p.Address, false
		}
		if e.id != p.ID || !e.held.Covers(p.Layers) {
			return dispatch.CauseMisdirected, p.Address, false
		}
		need := a.reservedTokens * float64(p.Layers.Len())
		if !slices.ContainsFunc(a.hops, func(h hop) bool { return h.engine == e }) && e.usedMemory+need > e.requestMemory() {
			return dispatch.CauseFull, p.Address, false
		}
		hops = append(hops, hop{engine: e, layers: p.Layers})
	}
	a.releaseEngines()
	a.hops = hops
	for i, h := range hops {
		h.engine.addAttempt(a, h.layers.Len(), i == 0)
	}
	return 0, "", true
}

// releaseEngines releases the attempt's memory and slot on the engines of its chain.
func (a *attempt) releaseEngines() {
	hops := a.hops
	a.hops = nil
	for i, h := range hops {
		h.engine.removeAttempt(a, h.layers.Len(), i == 0)
	}
}

// startStream reads the prompt and the events already delivered through all stages in turn, and
// schedules the next event.
func (a *attempt) startStream() {
	tokens := float64(a.session.caller.prompt + a.session.receivedEvents*a.world.scenario.Load.TokensPerEvent)
	done := a.prefill(a.hops, tokens)
	if a.session.caller.crashFault != nil {
		a.world.scheduleCrash(a, clock.Millis(math.Ceil(done)))
		return
	}
	a.scheduleEvents(clock.Millis(math.Ceil(done))+a.eventTime(1), 1)
	a.watchProgress(firstEventStallAfter)
}

// prefill reads tokens through some stages in turn and returns how long this takes, in ms.
func (a *attempt) prefill(hops []hop, tokens float64) float64 {
	now := float64(a.world.now)
	done := now
	for i, h := range hops {
		if i > 0 {
			done += a.world.linkDelay(hops[i-1].engine, h.engine)
		}
		done = h.engine.prefill(done, tokens, h.layers.Len())
	}
	return done - now
}

// eventTime returns how long the chain takes to generate a number of events.
func (a *attempt) eventTime(events int) clock.Millis {
	context := float64(a.session.caller.prompt + a.session.receivedEvents*a.world.scenario.Load.TokensPerEvent)
	token := a.world.linkDelay(a.hops[len(a.hops)-1].engine, a.hops[0].engine)
	for i, h := range a.hops {
		if i > 0 {
			token += a.world.linkDelay(a.hops[i-1].engine, h.engine)
		}
		token += h.engine.stepTime(h.layers.Len(), context)
	}
	return max(clock.Millis(math.Round(token*float64(events*a.world.scenario.Load.TokensPerEvent))), 1)
}

// scheduleEvents schedules the delivery of the next events.
func (a *attempt) scheduleEvents(delay clock.Millis, events int) {
	a.planVersion++
	version := a.planVersion
	if gap := delay / clock.Millis(max(events, 1)); gap > slowStreamAfter && a.session.receivedEvents > 0 {
		a.world.after(slowStreamAfter, func() { a.reportSlow(version) })
	}
	a.world.after(delay, func() {
		if a.finished || a.planVersion != version {
			return
		}
		if a.session.node.cutOff() {
			a.waitForLink(version)
			return
		}
		n := a.session.node
		if late := n.processor.run(a.world.now, a.world.scenario.Nodes.EventWorkMS*float64(events)); late > 0 {
			a.readLate(version, events, late)
			return
		}
		a.receive(events)
	})
}

// receive delivers events that the node has read, and schedules the next ones.
func (a *attempt) receive(events int) {
	if !a.responseStarted {
		a.responseStarted = true
		a.hops[0].engine.sendLimit(a.session.node, a.sentAt)
		a.session.node.update(dispatch.FirstEventMsg{Request: a.session.id, Attempt: a.cmd.Attempt})
	}
	a.session.deliverEvents(events, (a.world.now.Sub(a.lastEventAt))/clock.Millis(events))
	a.lastEventAt = a.world.now
	if remaining := a.session.caller.answerEvents - a.session.receivedEvents; remaining > 0 {
		n := min(remaining, maxEventBatch)
		a.scheduleEvents(a.eventTime(n), n)
		return
	}
	a.complete()
}

// cancel ends the attempt without a message to the node.
func (a *attempt) cancel() {
	a.finished = true
	a.releaseEngines()
}

// fail ends the attempt and reports the failure to the node.
func (a *attempt) fail(cause dispatch.Cause, faultyAddress string) {
	if a.finished {
		return
	}
	a.cancel()
	s := a.session
	msg := dispatch.AttemptFailedMsg{Request: s.id, Attempt: a.cmd.Attempt, Cause: cause, FaultyAddress: faultyAddress, Events: s.receivedEvents, LastEventAt: a.lastEventUptime()}
	if s.receivedEvents > 0 {
		msg.Delivered = dispatch.DeliveredEvents
	}
	a.world.after(networkDelay, func() { s.node.update(msg) })
}

// complete ends the attempt after its last event.
func (a *attempt) complete() {
	s := a.session
	a.cancel()
	took := a.world.now.Sub(s.caller.firstSentAt)
	s.node.update(dispatch.AttemptDoneMsg{Request: s.id, Attempt: a.cmd.Attempt, Took: took})
	s.finish()
	if s.origin != nil {
		s.completeAtOrigin(took)
	}
	s.caller.finishServed()
}
