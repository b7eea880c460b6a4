package placement

import "math"

const (
	// hopTime is a pass from one engine to the next inside a data centre, in ms for
	// each token: 0.2 ms on the way and some for the pass itself.
	hopTime = 0.4
	// batchWaitFactor is the time at an engine in parts of the time of a pass: what comes
	// waits for half a pass on average.
	batchWaitFactor = 1.5
)

// streamRate is how many streams a ms the data centre bears: by Little's law what there is
// memory for, and no more prompts than the slowest layers read.
func (l *layout) streamRate(room float64) float64 {
	held := room / l.shape.requestTokens() / l.streamDuration(room)
	if l.shape.Pass.MaxPromptTokens <= 0 {
		return held
	}
	read := smoothMin(l.promptRates, l.holderCounts, 1)
	return 1 / math.Cbrt(1/(held*held*held)+1/(read*read*read))
}

// promptRate is how many prompts an engine reads in a ms at the most, with half of
// the streams in its batch that it has memory for.
func (l *layout) promptRate(i int) float64 {
	e, n := l.engines[i], float64(l.ranges[i].Len())
	return l.shape.Pass.PromptRate(e.LayerTime*n, e.ReadTime*n, l.engineTokens(i)/l.shape.requestTokens()/2)
}

// requestCapacity is how many tokens the layers have memory for: that of the scarcest ones,
// by the mean of the twelfth powers, which also tells of two layouts with one
// scarcest layer each which has more of them.
func (l *layout) requestCapacity() float64 {
	return l.shape.requestTokens() * smoothMin(l.layerCapacity, l.holderCounts, l.shape.requestTokens())
}

// smoothMin is about the least of what layers with holders have, in a unit.
func smoothMin(has []float64, holders []int, unit float64) float64 {
	sum, covered := 0.0, 0
	for layer, c := range has {
		if holders[layer] == 0 {
			continue
		}
		covered++
		x := unit / max(c, minShare*unit)
		x *= x * x
		x *= x
		sum += x * x
	}
	if covered == 0 {
		return 0
	}
	return 1 / math.Pow(sum/float64(covered), 1.0/12)
}

// minShare keeps what is as good as nothing from dividing by zero.
const minShare = 1e-3

// streamDuration is how long a stream holds its memory when there are as many as there is
// room for, in ms. At each layer the fast holders are filled first. An engine's
// batch is the streams that are at it just then or wait for its next pass.
func (l *layout) streamDuration(room float64) float64 {
	clear(l.allocated)
	step, squares, hops, read := 0.0, 0.0, 0.0, 0.0
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		e, share, passes := l.engines[i], l.engineTokens(i), 0.0
		for layer := r.From; layer < r.To; layer++ {
			part := 1 / float64(l.holderCounts[layer])
			if l.layerCapacity[layer] >= 1 {
				part = min(share, max(room-l.allocated[layer], 0)) / min(room, l.layerCapacity[layer])
			}
			l.allocated[layer] += share
			passes += part
		}
		step += passes * e.LayerTime
		hops += passes * hopTime / float64(r.Len())
		squares += passes * e.LayerTime * passes * e.LayerTime
		read += passes * e.ReadTime
	}
	crowd := 0.0
	if step > 0 {
		crowd = l.shape.Pass.StreamSlowdown * room / l.shape.requestTokens() * squares / step
	}
	return batchWaitFactor*(l.shape.Prompt*read+l.shape.Answer*(step+crowd)) + l.shape.Answer*hops
}
