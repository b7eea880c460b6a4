package placement

import "math"

const (
	// replacementOverhead is how long it takes until a lost engine is replaced beside the
	// loads: it is found after some 0.35 s, a plan follows within 0.55 s, and all
	// nodes know the new holder after half a second more.
	replacementOverhead = 1500.0
	// servedShareInGap is the share of a data centre's requests that the others serve
	// while it lacks a layer.
	servedShareInGap = 0.3
)

// expectedCrashLoss adds up, for the loss of each engine, how long it takes to replace what
// it holds alone or what the rest lack without it, times what is
// served less meanwhile.
func (l *layout) expectedCrashLoss(room, rate float64) float64 {
	served := l.logServedShare(rate)
	l.countSoleLayers()
	sum := 0.0
	for i, r := range l.ranges {
		switch {
		case r.Empty():
		case l.soleLayers[i] > 0:
			sum += l.replacementTime(i) * max(0, served-math.Log(servedShareInGap))
		default:
			left := max(servedShareInGap, min(1, l.capacityWithout(i)/room))
			sum += l.replacementTime(i) * (served - l.logServedShare(rate*left))
		}
	}
	return sum
}

// countSoleLayers fills in how many layers each engine holds alone.
func (l *layout) countSoleLayers() {
	clear(l.soleLayers)
	for layer, n := range l.holderCounts {
		if n == 1 {
			l.soleLayers[l.holderIndexSums[layer]]++
		}
	}
}

// replacementTime is how long it takes until others hold what an engine holds alone or, if
// it holds nothing alone, all that it holds, in ms.
func (l *layout) replacementTime(i int) float64 {
	layers := l.ranges[i].Len()
	if l.soleLayers[i] > 0 {
		layers = l.soleLayers[i]
	}
	return replacementOverhead + l.shape.LoadTime*float64(layers)
}

// capacityWithout is how many tokens an engine's layers have memory for without it.
func (l *layout) capacityWithout(i int) float64 {
	least := math.Inf(1)
	for layer := l.ranges[i].From; layer < l.ranges[i].To; layer++ {
		least = min(least, l.layerCapacity[layer])
	}
	return least - l.engineTokens(i)
}
