package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// tooSlow has the node leave an engine that is too slow.
func (a *attempt) tooSlow(plan int) {
	if a.over || a.plan != plan {
		return
	}
	slowest := slices.MaxFunc(a.parts, func(x, y hop) int { return int(100 * (x.engine.slow - y.engine.slow)) })
	if slowest.engine.slow >= slowPace && slowest.engine != a.parts[0].engine {
		a.session.node.tell(dispatch.StalledMsg{Request: a.session.id, Attempt: a.cmd.Attempt, FaultyAddress: slowest.engine.address, Slow: true})
	}
}

// watch has the node look after the stream if no event comes.
func (a *attempt) watch(in clock.Millis) {
	a.world.after(in, func() {
		switch quiet := a.world.now.Sub(a.last); {
		case a.over || a.session.events > 0 && a.still == nil:
		case quiet >= abandonAfter:
			a.fail(dispatch.CauseNoProgress, "")
		default:
			a.watch(askAgain)
		}
	})
}

// standStill has the stream wait for an engine that is lost.
func (a *attempt) standStill(e *engine) {
	a.plan++
	a.still = e
	plan := a.plan
	find := stillFor
	if a.session.events == 0 {
		find = max(firstStall-a.world.now.Sub(a.last), 0)
	}
	a.world.after(find+silentAsk/2, func() { a.found(plan) })
	a.world.after(engineCuts, func() {
		if !a.over && a.plan == plan && a.still != nil {
			a.fail(dispatch.CauseUnknown, "")
		}
	})
}

// found tells the node which engine holds the stream up.
func (a *attempt) found(plan int) {
	if a.over || a.plan != plan || a.still == nil {
		return
	}
	if a.session.events == 0 || a.world.variant.NoMoves {
		a.fail(dispatch.CauseNoProgress, a.still.address)
		return
	}
	if a.world.now.Sub(a.last) >= abandonAfter {
		a.fail(dispatch.CauseNoProgress, "")
		return
	}
	a.session.node.tell(dispatch.StalledMsg{Request: a.session.id, Attempt: a.cmd.Attempt, FaultyAddress: a.still.address})
	a.world.after(askAgain, func() { a.found(plan) })
}

// move sends the stream over other engines, which read all its tokens first.
func (a *attempt) move(cmd dispatch.MigrateCmd) {
	a.world.after(2*onTheWay, func() {
		if a.over {
			return
		}
		msg := dispatch.MigratedMsg{Request: a.session.id, Attempt: a.cmd.Attempt, Result: dispatch.MigrationDone}
		before := a.parts
		if _, at, ok := a.build(cmd.Chain); !ok {
			msg.Result, msg.FaultyAddress = dispatch.MigrationRefused, at
		} else {
			a.world.result.Moves++
			a.still = nil
			tokens := float64(a.session.caller.prompt + a.session.events*a.world.scenario.Load.EventTokens)
			var fresh []hop
			for _, h := range a.parts {
				if !slices.ContainsFunc(before, func(b hop) bool { return b.engine == h.engine }) {
					fresh = append(fresh, h)
				}
			}
			n := min(max(a.session.caller.events-a.session.events, 1), eventsAtOnce)
			a.next(clock.Millis(a.readOn(fresh, tokens))+a.pause(n), n)
		}
		a.session.node.tell(msg)
	})
}
