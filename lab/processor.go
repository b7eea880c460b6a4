package lab

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// processor is a node's share of a processor, which does one thing after the other. Its times are
// those of the share, not of a whole core.
type processor struct {
	// busyUntil is when the work that has come is done.
	busyUntil float64
}

// run adds work that takes a time and returns how long it is until it is done.
func (p *processor) run(now clock.Millis, cost float64) clock.Millis {
	if cost <= 0 {
		return 0
	}
	p.busyUntil = max(p.busyUntil, float64(now)) + cost
	return clock.Millis(math.Ceil(p.busyUntil - float64(now)))
}

// delay returns how late work begins that comes now.
func (p *processor) delay(now clock.Millis) clock.Millis {
	return clock.Millis(max(p.busyUntil-float64(now), 0))
}

// readLate handles events that the node reads late because of its own processor. A node that does not
// count its own delay takes a pause that is too long for the silence of the first engine.
func (a *attempt) readLate(version, events int, late clock.Millis) {
	limit := stallAfter
	if a.session.receivedEvents == a.session.resumedFrom {
		limit = firstEventStallAfter
	}
	pause := a.world.now.Sub(a.lastEventAt)/clock.Millis(events) + late
	if a.world.variant.NoOwnDelay && pause >= limit+minReportWait {
		a.fail(dispatch.CauseNoProgress, a.cmd.Address)
		return
	}
	a.world.after(late, func() {
		if !a.finished && a.planVersion == version {
			a.receive(events)
		}
	})
}
