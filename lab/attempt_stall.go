package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// reportSlow has the node leave an engine that is too slow.
func (a *attempt) reportSlow(plan int) {
	if a.finished || a.planVersion != plan {
		return
	}
	slowest := slices.MaxFunc(a.hops, func(x, y hop) int { return int(100 * (x.engine.slowdown - y.engine.slowdown)) })
	if slowest.engine.slowdown >= slowdownThreshold && slowest.engine != a.hops[0].engine {
		a.session.node.update(dispatch.StalledMsg{Request: a.session.id, Attempt: a.cmd.Attempt, FaultyAddress: slowest.engine.address, Slow: true})
	}
}

// watchProgress has the node look after the stream if no event comes.
func (a *attempt) watchProgress(in clock.Millis) {
	a.world.after(in, func() {
		switch quiet := a.world.now.Sub(a.lastEventAt); {
		case a.finished || a.session.receivedEvents > 0 && a.stalledOn == nil:
		case quiet >= abandonAfter:
			a.fail(dispatch.CauseNoProgress, "")
		default:
			a.watchProgress(stallRecheckInterval)
		}
	})
}

// stall has the stream wait for an engine that is lost.
func (a *attempt) stall(e *engine) {
	a.planVersion++
	a.stalledOn = e
	plan := a.planVersion
	find := stallAfter
	if a.session.receivedEvents == 0 {
		find = max(firstEventStallAfter-a.world.now.Sub(a.lastEventAt), 0)
	}
	a.world.after(find+probeTimeout/2, func() { a.reportStall(plan) })
	a.world.after(engineAbortAfter, func() {
		if !a.finished && a.planVersion == plan && a.stalledOn != nil {
			a.fail(dispatch.CauseUnknown, "")
		}
	})
}

// reportStall tells the node which engine holds the stream up.
func (a *attempt) reportStall(plan int) {
	if a.finished || a.planVersion != plan || a.stalledOn == nil {
		return
	}
	if a.session.receivedEvents == 0 || a.world.variant.NoMigration {
		a.fail(dispatch.CauseNoProgress, a.stalledOn.address)
		return
	}
	if a.world.now.Sub(a.lastEventAt) >= abandonAfter {
		a.fail(dispatch.CauseNoProgress, "")
		return
	}
	a.session.node.update(dispatch.StalledMsg{Request: a.session.id, Attempt: a.cmd.Attempt, FaultyAddress: a.stalledOn.address})
	a.world.after(stallRecheckInterval, func() { a.reportStall(plan) })
}

// migrate sends the stream over other engines, which read all its tokens first.
func (a *attempt) migrate(cmd dispatch.MigrateCmd) {
	a.world.after(2*networkDelay, func() {
		if a.finished {
			return
		}
		msg := dispatch.MigratedMsg{Request: a.session.id, Attempt: a.cmd.Attempt, Result: dispatch.MigrationDone}
		before := a.hops
		if _, at, ok := a.reserveChain(cmd.Chain); !ok {
			msg.Result, msg.FaultyAddress = dispatch.MigrationRefused, at
		} else {
			a.world.result.Migrations++
			a.stalledOn = nil
			tokens := float64(a.session.caller.prompt + a.session.receivedEvents*a.world.scenario.Load.TokensPerEvent)
			var fresh []hop
			for _, h := range a.hops {
				if !slices.ContainsFunc(before, func(b hop) bool { return b.engine == h.engine }) {
					fresh = append(fresh, h)
				}
			}
			n := min(max(a.session.caller.answerEvents-a.session.receivedEvents, 1), maxEventBatch)
			a.scheduleEvents(clock.Millis(a.prefill(fresh, tokens))+a.eventTime(n), n)
		}
		a.session.node.update(msg)
	})
}
