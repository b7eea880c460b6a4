package placement

import "math"

const (
	// replacementOverhead is the time to replace a crashed engine, excluding the loading of
	// layers, in milliseconds. The crash is detected after about 0.35 s, a plan follows within
	// 0.55 s, and all nodes know the new holder 0.5 s later.
	replacementOverhead = 1500.0
	// servedShareInGap is the share of a data centre's requests that other data centres serve
	// while it has a layer without a holder.
	servedShareInGap = 0.3
)

// expectedCrashLoss returns the sum, over the crash of each engine, of the replacement time
// multiplied by the reduction of the served share during that time.
func (l *layout) expectedCrashLoss(capacity, rate float64) float64 {
	served := l.logServedShare(rate)
	l.countSoleLayers()
	sum := 0.0
	for i, r := range l.ranges {
		switch {
		case r.Empty():
		case l.soleLayers[i] > 0:
			sum += l.replacementTime(i) * max(0, served-math.Log(servedShareInGap))
		default:
			remaining := max(servedShareInGap, min(1, l.capacityWithout(i)/capacity))
			sum += l.replacementTime(i) * (served - l.logServedShare(rate*remaining))
		}
	}
	return sum
}

// countSoleLayers recomputes soleLayers.
func (l *layout) countSoleLayers() {
	clear(l.soleLayers)
	for layer, n := range l.holderCounts {
		if n == 1 {
			l.soleLayers[l.holderIndexSums[layer]]++
		}
	}
}

// replacementTime returns the time in milliseconds until other engines hold the layers of a
// crashed engine: those without another holder or, if there are none, all of its layers.
func (l *layout) replacementTime(i int) float64 {
	layers := l.ranges[i].Len()
	if l.soleLayers[i] > 0 {
		layers = l.soleLayers[i]
	}
	return replacementOverhead + l.shape.LoadTime*float64(layers)
}

// capacityWithout returns the lowest request capacity of an engine's layers without this engine,
// in tokens.
func (l *layout) capacityWithout(i int) float64 {
	lowest := math.Inf(1)
	for layer := l.ranges[i].From; layer < l.ranges[i].To; layer++ {
		lowest = min(lowest, l.layerCapacity[layer])
	}
	return lowest - l.engineTokens(i)
}
