package placement

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Outlook is what a data centre's engines bear when a first plan has placed the
// layers.
type Outlook struct {
	DataCentre string
	Engines    int
	// Missing is how many layers fit nowhere.
	Missing int
	// Rate is how many requests of the usual size it bears, a second; AtOnce is how
	// many there are then at a time, and Lasts how long one takes.
	Rate   float64
	AtOnce float64
	Lasts  clock.Millis
	// Worst is the engine whose loss costs most, Alone how many layers it holds that
	// nobody else does, Left the part of the rate that is left without it, and
	// Replaced how long the loading of what it held takes.
	Worst    fleet.Incarnation
	Alone    int
	Left     float64
	Replaced clock.Millis
}

// Outlooks plans for engines that hold nothing, and returns what comes of it, by the
// names of the data centres.
func Outlooks(shape Shape, engines []Engine) []Outlook {
	p := newPlan(shape, engines)
	var list []Outlook
	for _, centre := range p.centres {
		if len(p.of(centre)) == 0 {
			continue
		}
		p.design(centre)
		list = append(list, outlook(centre, newLayout(shape, p.of(centre))))
	}
	return list
}

const msPerSecond = 1000

func outlook(centre string, l *layout) Outlook {
	o := Outlook{DataCentre: centre, Engines: len(l.engines), Missing: l.count(), Left: 1}
	room := l.room()
	if o.Missing > 0 || room <= 0 {
		return o
	}
	rate := l.rate(room)
	lasts := l.lasts(room)
	o.Rate, o.AtOnce, o.Lasts = rate*msPerSecond, rate*lasts, clock.Millis(lasts)
	l.countSolo()
	most := 0.0
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		left, takes := 0.0, l.replacing(i)
		if l.solo[i] == 0 {
			left = min(1, max(0, l.roomWithout(i)/room))
		}
		if cost := (1 - left) * takes; cost > most {
			most = cost
			o.Worst, o.Alone, o.Left, o.Replaced = l.engines[i].ID, l.solo[i], left, clock.Millis(takes)
		}
	}
	return o
}
