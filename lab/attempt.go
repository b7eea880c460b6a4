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
	// onTheWay is the time of a request or an answer between a node and an engine.
	onTheWay clock.Millis = 1
	// firstStall and stillFor are after how long without a first or a further event the
	// engines are asked why, silentAsk how long one is waited for that does not answer, and
	// askAgain how soon they are asked again.
	firstStall clock.Millis = 220
	stillFor   clock.Millis = 110
	silentAsk  clock.Millis = 160
	askAgain   clock.Millis = 200
	// slowAfter is for how long a stream must have stood still until a slow engine is left.
	slowAfter clock.Millis = 400
	// abandonAfter is after how long without an event a stream is taken up elsewhere.
	abandonAfter clock.Millis = 1600
	// engineCuts is after how long an engine cuts a stream that waits for a lost one.
	engineCuts clock.Millis = 2500
)

const (
	// slowPace is how much slower than usual such an engine is.
	slowPace = 2.5
	// eventsAtOnce is how many events are played together.
	eventsAtOnce = 8
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
	parts   []hop
	// tokens is what it takes at each layer.
	tokens float64
	// last is when the last event came, or it was sent.
	last clock.Millis
	// sent is the age of the node's process at which it was sent, and heard tells that the
	// first engine's answer has begun.
	sent  clock.Millis
	heard bool
	over  bool
	// still is the engine that it waits for, and plan counts what was planned for it: what
	// was planned before the last change counts no more.
	still *engine
	plan  int
}

// needs tells whether it passes layers that an engine is to give up.
func (a *attempt) needs(e *engine) bool {
	return slices.ContainsFunc(a.parts, func(h hop) bool { return h.engine == e && !e.held.Covers(h.layers) })
}

// send sends a request to its first engine.
func (s *session) send(cmd dispatch.SendCmd) {
	w := s.node.world
	w.result.Sends++
	a := &attempt{world: w, session: s, cmd: cmd, tokens: s.caller.tokens(), last: w.now, sent: s.node.age()}
	s.attempt = a
	if !chain.Valid(w.pipeline.Layers, cmd.Chain) {
		w.result.breach("layers", "a chain that does not run each layer once")
	}
	w.after(onTheWay, a.arrive)
}

// arrive has an attempt reach its first engine, which takes or refuses it.
func (a *attempt) arrive() {
	w := a.world
	if a.over || !a.session.node.up {
		return
	}
	first := w.at[a.cmd.Address]
	switch {
	case first == nil || !first.up:
		a.fail(dispatch.CauseNotSent, "")
		return
	case first.id != a.cmd.Upstream:
		a.session.node.replaced(a.cmd.Upstream, a.cmd.Address)
		a.fail(dispatch.CauseMisdirected, "")
		return
	}
	w.count(a.session)
	first.judge(a.session.node)
	first.visited(a.session.node)
	if first.turnsAway() {
		first.ask(a.session.node)
		first.answers(a.session.node, a.sent)
		a.fail(dispatch.CauseFull, "")
		return
	}
	if cause, at, ok := a.build(a.cmd.Chain); !ok {
		first.answers(a.session.node, a.sent)
		a.fail(cause, at)
		return
	}
	a.begin()
}

// build finds the engines of a chain, or tells what is wrong with it.
func (a *attempt) build(parts []chain.Stage) (cause dispatch.Cause, at string, ok bool) {
	var hops []hop
	for _, p := range parts {
		e := a.world.at[p.Address]
		if e == nil || !e.up {
			return dispatch.CauseFull, p.Address, false
		}
		if e.id != p.ID || !e.held.Covers(p.Layers) {
			return dispatch.CauseMisdirected, p.Address, false
		}
		need := a.tokens * float64(p.Layers.Len())
		if !slices.ContainsFunc(a.parts, func(h hop) bool { return h.engine == e }) && e.used+need > e.room() {
			return dispatch.CauseFull, p.Address, false
		}
		hops = append(hops, hop{engine: e, layers: p.Layers})
	}
	a.leave()
	a.parts = hops
	for i, h := range hops {
		h.engine.take(a, h.layers.Len(), i == 0)
	}
	return 0, "", true
}

// leave gives back what it takes at the engines.
func (a *attempt) leave() {
	parts := a.parts
	a.parts = nil
	for i, h := range parts {
		h.engine.release(a, h.layers.Len(), i == 0)
	}
}

// begin reads the prompt, and what there is of the answer, on all parts in turn.
func (a *attempt) begin() {
	tokens := float64(a.session.caller.prompt + a.session.events*a.world.scenario.Load.EventTokens)
	done := a.readOn(a.parts, tokens)
	if a.session.caller.deadly {
		a.world.ends(a, clock.Millis(math.Ceil(done)))
		return
	}
	a.next(clock.Millis(math.Ceil(done))+a.pause(1), 1)
	a.watch(firstStall)
}

// readOn reads tokens on some parts in turn, and returns in how many ms that is done.
func (a *attempt) readOn(parts []hop, tokens float64) float64 {
	now := float64(a.world.now)
	done := now
	for i, h := range parts {
		if i > 0 {
			done += a.world.between(parts[i-1].engine, h.engine)
		}
		done = h.engine.read(done, tokens, h.layers.Len())
	}
	return done - now
}

// pause is the time of a number of events.
func (a *attempt) pause(events int) clock.Millis {
	context := float64(a.session.caller.prompt + a.session.events*a.world.scenario.Load.EventTokens)
	token := a.world.between(a.parts[len(a.parts)-1].engine, a.parts[0].engine)
	for i, h := range a.parts {
		if i > 0 {
			token += a.world.between(a.parts[i-1].engine, h.engine)
		}
		token += h.engine.stepTime(h.layers.Len(), context)
	}
	return max(clock.Millis(math.Round(token*float64(events*a.world.scenario.Load.EventTokens))), 1)
}

// next plans the next events.
func (a *attempt) next(in clock.Millis, events int) {
	a.plan++
	plan := a.plan
	if each := in / clock.Millis(max(events, 1)); each > slowAfter && a.session.events > 0 {
		a.world.after(slowAfter, func() { a.tooSlow(plan) })
	}
	a.world.after(in, func() {
		if a.over || a.plan != plan {
			return
		}
		if !a.heard {
			a.heard = true
			a.parts[0].engine.answers(a.session.node, a.sent)
		}
		a.session.take(events, (a.world.now.Sub(a.last))/clock.Millis(events))
		a.last = a.world.now
		if left := a.session.caller.events - a.session.events; left > 0 {
			n := min(left, eventsAtOnce)
			a.next(a.pause(n), n)
			return
		}
		a.done()
	})
}

// drop ends the attempt without a word.
func (a *attempt) drop() {
	a.over = true
	a.leave()
}

// fail tells the node that the attempt has brought nothing more.
func (a *attempt) fail(cause dispatch.Cause, at string) {
	if a.over {
		return
	}
	a.drop()
	s := a.session
	msg := dispatch.AttemptFailedMsg{Request: s.id, Attempt: a.cmd.Attempt, Cause: cause, FaultyAddress: at, Events: s.events}
	if s.events > 0 {
		msg.Delivered = dispatch.DeliveredEvents
	}
	a.world.after(onTheWay, func() { s.node.tell(msg) })
}

// done ends the attempt with the whole answer.
func (a *attempt) done() {
	s := a.session
	a.drop()
	s.node.tell(dispatch.AttemptDoneMsg{Request: s.id, Attempt: a.cmd.Attempt, Took: a.world.now.Sub(s.caller.sent)})
	s.end()
	s.caller.served()
}
