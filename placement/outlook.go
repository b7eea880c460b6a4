package placement

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Forecast is what a data centre's engines bear when a first plan has placed the
// layers.
type Forecast struct {
	DataCentre string
	Engines    int
	// Missing is how many layers fit nowhere.
	Missing int
	// Rate is how many requests of the usual size it bears, a second; Concurrent is how
	// many there are then at a time, and Lasts how long one takes.
	Rate       float64
	Concurrent float64
	Duration   clock.Millis
	// WorstCrash is the engine whose loss costs most, Alone how many layers it holds that
	// nobody else does, Left the part of the rate that is left without it, and
	// Replaced how long the loading of what it held takes.
	WorstCrash      fleet.Incarnation
	SoleLayers      int
	RemainingShare  float64
	ReplacementTime clock.Millis
}

// Forecasts plans for engines that hold nothing, and returns what comes of it, by the
// names of the data centres.
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
	room := l.requestCapacity()
	if o.Missing > 0 || room <= 0 {
		return o
	}
	rate := l.streamRate(room)
	lasts := l.streamDuration(room)
	o.Rate, o.Concurrent, o.Duration = rate*msPerSecond, rate*lasts, clock.Millis(lasts)
	l.countSoleLayers()
	most := 0.0
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		left, takes := 0.0, l.replacementTime(i)
		if l.soleLayers[i] == 0 {
			left = min(1, max(0, l.capacityWithout(i)/room))
		}
		if cost := (1 - left) * takes; cost > most {
			most = cost
			o.WorstCrash, o.SoleLayers, o.RemainingShare, o.ReplacementTime = l.engines[i].ID, l.soleLayers[i], left, clock.Millis(takes)
		}
	}
	return o
}
