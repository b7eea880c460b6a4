package placement

import "math"

const (
	// foundAfter is how long it takes until a lost engine is replaced beside the
	// loads: it is found after some 0.35 s, a plan follows within 0.55 s, and all
	// nodes know the new holder after half a second more.
	foundAfter = 1500.0
	// servedInGap is the share of a data centre's requests that the others serve
	// while it lacks a layer.
	servedInGap = 0.3
)

// losses adds up, for the loss of each engine, how long it takes to replace what
// it holds alone or what the rest lack without it, times what is
// served less meanwhile.
func (l *layout) losses(room, rate float64) float64 {
	served := l.served(rate)
	l.countSolo()
	sum := 0.0
	for i, r := range l.ranges {
		switch {
		case r.Empty():
		case l.solo[i] > 0:
			sum += l.replacing(i) * max(0, served-math.Log(servedInGap))
		default:
			left := max(servedInGap, min(1, l.roomWithout(i)/room))
			sum += l.replacing(i) * (served - l.served(rate*left))
		}
	}
	return sum
}

// countSolo fills in how many layers each engine holds alone.
func (l *layout) countSolo() {
	clear(l.solo)
	for layer, n := range l.holders {
		if n == 1 {
			l.solo[l.places[layer]]++
		}
	}
}

// replacing is how long it takes until others hold what an engine holds alone or, if
// it holds nothing alone, all that it holds, in ms.
func (l *layout) replacing(i int) float64 {
	layers := l.ranges[i].Len()
	if l.solo[i] > 0 {
		layers = l.solo[i]
	}
	return foundAfter + l.shape.LoadTime*float64(layers)
}

// roomWithout is how many tokens an engine's layers have memory for without it.
func (l *layout) roomWithout(i int) float64 {
	least := math.Inf(1)
	for layer := l.ranges[i].From; layer < l.ranges[i].To; layer++ {
		least = min(least, l.capacity[layer])
	}
	return least - l.share(i)
}
