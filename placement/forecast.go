package placement

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Forecast is the expected performance of a data centre's engines after an initial plan.
type Forecast struct {
	DataCentre string
	Engines    int
	// Missing is the number of layers that do not fit into the memory of any engine.
	Missing int
	// Rate is the supported rate in requests of the usual size per second, Concurrent the number
	// of requests in progress at this rate, and Duration the time that a request takes.
	Rate       float64
	Concurrent float64
	Duration   clock.Millis
	// WorstCrash is the engine whose crash costs the most. SoleLayers is the number of its layers
	// without another holder, RemainingShare the share of Rate that is left after the crash, and
	// ReplacementTime the time to load its layers on other engines.
	WorstCrash      fleet.Incarnation
	SoleLayers      int
	RemainingShare  float64
	ReplacementTime clock.Millis
}

// Forecasts plans for empty engines and returns the forecast of each data centre, sorted by name.
func Forecasts(shape Shape, engines []Engine) []Forecast {
	p := newPlan(shape, engines)
	var list []Forecast
	for _, centre := range p.dataCentres {
		if len(p.enginesIn(centre)) == 0 {
			continue
		}
		p.planInitial(centre)
		list = append(list, forecast(centre, newLayout(shape, p.enginesIn(centre))))
	}
	return list
}

const msPerSecond = 1000

func forecast(centre string, l *layout) Forecast {
	o := Forecast{DataCentre: centre, Engines: len(l.engines), Missing: l.countHolders(), RemainingShare: 1}
	capacity := l.requestCapacity()
	if o.Missing > 0 || capacity <= 0 {
		return o
	}
	rate := l.streamRate(capacity)
	duration := l.streamDuration(capacity)
	o.Rate, o.Concurrent, o.Duration = rate*msPerSecond, rate*duration, clock.Millis(duration)
	l.countSoleLayers()
	highest := 0.0
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		remaining, reload := 0.0, l.replacementTime(i)
		if l.soleLayers[i] == 0 {
			remaining = min(1, max(0, l.capacityWithout(i)/capacity))
		}
		if cost := (1 - remaining) * reload; cost > highest {
			highest = cost
			o.WorstCrash, o.SoleLayers, o.RemainingShare, o.ReplacementTime = l.engines[i].ID, l.soleLayers[i], remaining, clock.Millis(reload)
		}
	}
	return o
}
