package lab

import (
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Times of a node's shell, as the relay has them (relay/stall.go).
const (
	// networkDelay is the time of a request or an answer between a node and an engine.
	networkDelay clock.Millis = 1
	// firstEventStallAfter and stallAfter are after how long without a first or a further event the
	// engines are asked why, probeTimeout how long one is waited for that does not answer, and
	// stallRecheckInterval how soon they are asked again.
	firstEventStallAfter clock.Millis = 220
	stallAfter           clock.Millis = 110
	probeTimeout         clock.Millis = 160
	stallRecheckInterval clock.Millis = 200
	// slowStreamAfter is for how long a stream must have stood still until a slow engine is left.
	slowStreamAfter clock.Millis = 400
	// abandonAfter is after how long without an event a stream is taken up elsewhere.
	abandonAfter clock.Millis = 1600
	// engineAbortAfter is after how long an engine cuts a stream that waits for a lost one.
	engineAbortAfter clock.Millis = 2500
)

const (
	// slowdownThreshold is how much slower than usual such an engine is.
	slowdownThreshold = 2.5
	// maxEventBatch is how many events are played together.
	maxEventBatch = 8
)

// hop is a part of an attempt's chain.
type hop struct {
	engine *engine
	layers fleet.LayerRange
}

// attempt is one sending of a request, from a node's side and the engines'.
type attempt struct {
	world   *world
	session *session
	cmd     dispatch.SendCmd
	hops    []hop
	// reservedTokens is what it takes at each layer.
	reservedTokens float64
	// lastEventAt is when the last event came, or it was sent.
	lastEventAt clock.Millis
	// sentAt is the age of the node's process at which it was sent, and heard tells that the
	// first engine's answer has begun.
	sentAt          clock.Millis
	responseStarted bool
	finished        bool
	// stalledOn is the engine that it waits for, and plan counts what was planned for it: what
	// was planned before the last change counts no more.
	stalledOn   *engine
	planVersion int
}

// usesRemovedLayers tells whether it passes layers that an engine is to give up.
func (a *attempt) usesRemovedLayers(e *engine) bool {
	return slices.ContainsFunc(a.hops, func(h hop) bool { return h.engine == e && !e.held.Covers(h.layers) })
}

// send sends a request to its first engine.
func (s *session) send(cmd dispatch.SendCmd) {
	w := s.node.world
	w.result.EngineAttempts++
	a := &attempt{world: w, session: s, cmd: cmd, reservedTokens: s.caller.totalTokens(), lastEventAt: w.now, sentAt: s.node.uptime()}
	s.attempt = a
	if !chain.Valid(w.pipeline.Layers, cmd.Chain) {
		w.result.violate("layers", "a chain that does not run each layer once")
	}
	w.after(networkDelay, a.arrive)
}

// arrive has an attempt reach its first engine, which takes or refuses it.
func (a *attempt) arrive() {
	w := a.world
	if a.finished || !a.session.node.running {
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
	if cause, at, ok := a.reserveChain(a.cmd.Chain); !ok {
		first.sendLimit(a.session.node, a.sentAt)
		a.fail(cause, at)
		return
	}
	a.startStream()
}

// reserveChain finds the engines of a chain, or tells what is wrong with it.
func (a *attempt) reserveChain(parts []chain.Stage) (cause dispatch.Cause, at string, ok bool) {
	var hops []hop
	for _, p := range parts {
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

// releaseEngines gives back what it takes at the engines.
func (a *attempt) releaseEngines() {
	parts := a.hops
	a.hops = nil
	for i, h := range parts {
		h.engine.removeAttempt(a, h.layers.Len(), i == 0)
	}
}

// startStream reads the prompt, and what there is of the answer, on all parts in turn.
func (a *attempt) startStream() {
	tokens := float64(a.session.caller.prompt + a.session.receivedEvents*a.world.scenario.Load.TokensPerEvent)
	done := a.prefill(a.hops, tokens)
	if a.session.caller.crashesEngines {
		a.world.scheduleCrash(a, clock.Millis(math.Ceil(done)))
		return
	}
	a.scheduleEvents(clock.Millis(math.Ceil(done))+a.eventTime(1), 1)
	a.watchProgress(firstEventStallAfter)
}

// prefill reads tokens on some parts in turn, and returns in how many ms that is done.
func (a *attempt) prefill(parts []hop, tokens float64) float64 {
	now := float64(a.world.now)
	done := now
	for i, h := range parts {
		if i > 0 {
			done += a.world.linkDelay(parts[i-1].engine, h.engine)
		}
		done = h.engine.prefill(done, tokens, h.layers.Len())
	}
	return done - now
}

// eventTime is the time of a number of events.
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

// scheduleEvents plans the next events.
func (a *attempt) scheduleEvents(in clock.Millis, events int) {
	a.planVersion++
	plan := a.planVersion
	if each := in / clock.Millis(max(events, 1)); each > slowStreamAfter && a.session.receivedEvents > 0 {
		a.world.after(slowStreamAfter, func() { a.reportSlow(plan) })
	}
	a.world.after(in, func() {
		if a.finished || a.planVersion != plan {
			return
		}
		if !a.responseStarted {
			a.responseStarted = true
			a.hops[0].engine.sendLimit(a.session.node, a.sentAt)
		}
		a.session.deliverEvents(events, (a.world.now.Sub(a.lastEventAt))/clock.Millis(events))
		a.lastEventAt = a.world.now
		if left := a.session.caller.answerEvents - a.session.receivedEvents; left > 0 {
			n := min(left, maxEventBatch)
			a.scheduleEvents(a.eventTime(n), n)
			return
		}
		a.complete()
	})
}

// cancel ends the attempt without a word.
func (a *attempt) cancel() {
	a.finished = true
	a.releaseEngines()
}

// fail tells the node that the attempt has brought nothing more.
func (a *attempt) fail(cause dispatch.Cause, at string) {
	if a.finished {
		return
	}
	a.cancel()
	s := a.session
	msg := dispatch.AttemptFailedMsg{Request: s.id, Attempt: a.cmd.Attempt, Cause: cause, FaultyAddress: at, Events: s.receivedEvents}
	if s.receivedEvents > 0 {
		msg.Delivered = dispatch.DeliveredEvents
	}
	a.world.after(networkDelay, func() { s.node.update(msg) })
}

// complete ends the attempt with the whole answer.
func (a *attempt) complete() {
	s := a.session
	a.cancel()
	s.node.update(dispatch.AttemptDoneMsg{Request: s.id, Attempt: a.cmd.Attempt, Took: a.world.now.Sub(s.caller.firstSentAt)})
	s.finish()
	s.caller.finishServed()
}
