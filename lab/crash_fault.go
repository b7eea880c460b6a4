package lab

import (
	"fmt"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/work"
)

// crashFault is the state of a CrashingRequest or a CrashingPart fault.
type crashFault struct {
	// share is the share of all requests that crash engines now.
	share float64
	// maxCrashes is how many engines the requests may crash before they must be quarantined.
	maxCrashes int
	// crashes are the times at which a request crashed an engine. lateAttempts counts the attempts
	// more than crashNewsDelay after the last allowed crash.
	crashes      []clock.Millis
	lateAttempts int
}

const (
	// maxCrashes and maxPartCrashes are how many engines a request, and requests with the same part,
	// may crash before they must be quarantined, crashNewsDelay how long nodes may take to learn of the
	// crashes, and maxLateAttempts how often such requests may be sent after that.
	maxCrashes                   = 3
	maxPartCrashes               = 5
	crashNewsDelay  clock.Millis = 3000
	maxLateAttempts              = 3
	// crashDowntime is how long an engine stays down that a request has crashed.
	crashDowntime clock.Millis = 3200
)

// crashingWork identifies the work of the crashing request, and crashingPart the part of prompts that
// crashes engines.
var (
	crashingWork = work.ID{}.ForAccount("deadly")
	crashingPart = work.FromPart("dead")
)

// The parts of prompts that requests share: a few begin all prompts of a route, and some dozens are
// those of a group of callers or of a session.
const (
	routeParts   = 3
	groupParts   = 12
	sessionParts = 100
)

// startCrashFault lets a share of the requests crash engines, until the fault ends.
func (w *world) startCrashFault(state *crashFault, f Fault) {
	state.share = f.Magnitude
	w.after(f.Duration, func() { state.share = 0 })
}

// drawParts draws the parts of a request's prompt. A request with the part that crashes engines shares
// its other parts with others.
func (w *world) drawParts(c *caller) {
	for level, count := range []int{routeParts, groupParts, sessionParts} {
		c.parts = append(c.parts, work.FromPart(fmt.Sprintf("%d%02x", level+1, w.partRand.IntN(count))))
	}
	if c.crashFault == nil && w.partRand.Float64() < w.partFault.share {
		c.crashFault = w.partFault
		c.parts[w.partRand.IntN(len(c.parts))] = crashingPart
	}
}

// scheduleCrash schedules the crash of the first engine of a crashing request's attempt.
func (w *world) scheduleCrash(a *attempt, delay clock.Millis) {
	f := a.session.caller.crashFault
	if n := len(f.crashes); n >= f.maxCrashes && w.now > f.crashes[f.maxCrashes-1].Add(crashNewsDelay) {
		f.lateAttempts++
	}
	w.after(delay, func() {
		hops := a.hops
		if a.finished || len(hops) == 0 || !hops[0].engine.running {
			return
		}
		f.crashes = append(f.crashes, w.now)
		hops[0].engine.crash(crashDowntime)
	})
}
