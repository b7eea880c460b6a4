package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// reportSlow reports the slowest engine of the chain to the node, unless it is fast enough or the
// first engine.
func (a *attempt) reportSlow(version int) {
	if a.finished || a.planVersion != version {
		return
	}
	slowest := slices.MaxFunc(a.hops, func(x, y hop) int { return int(100 * (x.engine.slowdown - y.engine.slowdown)) })
	if slowest.engine.slowdown >= slowdownThreshold && slowest.engine != a.hops[0].engine {
		a.session.node.update(dispatch.StalledMsg{Request: a.session.id, Attempt: a.cmd.Attempt, FaultyAddress: slowest.engine.address, Slow: true})
	}
}

// watchProgress fails the attempt when no event arrives for abandonAfter.
func (a *attempt) watchProgress(delay clock.Millis) {
	a.world.after(delay, func() {
		switch idle := a.world.now.Sub(a.lastEventAt); {
		case a.finished || a.session.receivedEvents > 0 && a.stalledOn == nil:
		case idle >= abandonAfter:
			a.fail(dispatch.CauseNoProgress, "")
		default:
			a.watchProgress(stallRecheckInterval)
		}
	})
}

// stall stops the stream, which waits for a crashed engine.
func (a *attempt) stall(e *engine) {
	a.planVersion++
	a.stalledOn = e
	version := a.planVersion
	detectAfter := stallAfter
	if a.session.receivedEvents == 0 {
		detectAfter = max(firstEventStallAfter-a.world.now.Sub(a.lastEventAt), 0)
	}
	a.world.after(detectAfter+a.reportWait(), func() { a.reportStall(version) })
	a.world.after(engineAbortAfter, func() {
		if !a.finished && a.planVersion == version && a.stalledOn != nil {
			a.fail(dispatch.CauseUnknown, "")
		}
	})
}

// reportWait returns how long the node waits on average until an engine that does not answer
// counts as the reason of the stall.
func (a *attempt) reportWait() clock.Millis {
	gapTarget := a.world.scenario.Load.EventGapTargetMS
	if a.session.receivedEvents == 0 || gapTarget == 0 {
		return probeTimeout / 2
	}
	return min(max(minReportWait, (gapTarget-stallAfter)/2), probeTimeout/2)
}

// lastEventUptime returns the node's uptime at the last event of the stream; 0 before the first.
func (a *attempt) lastEventUptime() clock.Millis {
	if a.session.receivedEvents == 0 {
		return 0
	}
	return a.session.node.uptime().Sub(a.world.now.Sub(a.lastEventAt))
}

// watchFirstEvent reports an attempt to the node that has no first event in time.
func (a *attempt) watchFirstEvent() {
	if a.cmd.FirstEventLimit == 0 {
		return
	}
	a.world.after(a.cmd.FirstEventLimit, func() {
		if !a.finished && a.session.receivedEvents == 0 {
			a.session.node.update(dispatch.FirstEventOverdueMsg{Request: a.session.id, Attempt: a.cmd.Attempt})
		}
	})
}

// reportStall reports to the node which engine the stream waits for.
func (a *attempt) reportStall(version int) {
	if a.finished || a.planVersion != version || a.stalledOn == nil {
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
	a.session.node.update(dispatch.StalledMsg{Request: a.session.id, Attempt: a.cmd.Attempt, FaultyAddress: a.stalledOn.address, Events: a.session.receivedEvents, LastEventAt: a.lastEventUptime()})
	a.world.after(stallRecheckInterval, func() { a.reportStall(version) })
}

// migrate moves the stream to another chain. The engines that are new in the chain first read
// all its tokens.
func (a *attempt) migrate(cmd dispatch.MigrateCmd) {
	a.world.after(2*networkDelay, func() {
		if a.finished {
			return
		}
		msg := dispatch.MigratedMsg{Request: a.session.id, Attempt: a.cmd.Attempt, Result: dispatch.MigrationDone}
		before := a.hops
		if _, faultyAddress, ok := a.reserveChain(cmd.Chain); !ok {
			msg.Result, msg.FaultyAddress = dispatch.MigrationRefused, faultyAddress
		} else {
			a.world.result.Migrations++
			a.stalledOn = nil
			tokens := float64(a.session.caller.prompt + a.session.receivedEvents*a.world.scenario.Load.TokensPerEvent)
			var added []hop
			for _, h := range a.hops {
				if !slices.ContainsFunc(before, func(b hop) bool { return b.engine == h.engine }) {
					added = append(added, h)
				}
			}
			n := min(max(a.session.caller.answerEvents-a.session.receivedEvents, 1), maxEventBatch)
			a.scheduleEvents(clock.Millis(a.prefill(added, tokens))+a.eventTime(n), n)
		}
		a.session.node.update(msg)
	})
}
