package placement

import "math"

const (
	// hopTime is the time per token to pass from one engine to the next within a data centre, in
	// milliseconds: 0.2 ms on the network plus the overhead of the pass.
	hopTime = 0.4
	// batchWaitFactor is the time at an engine as a multiple of the time of a pass. A token waits
	// for half a pass on average before its own pass begins.
	batchWaitFactor = 1.5
)

// streamRate returns the number of streams per millisecond that the data centre supports. It is
// bounded by memory, following Little's law, and by the prompt rate of the slowest layers.
func (l *layout) streamRate(capacity float64) float64 {
	memoryBound := capacity / l.shape.requestTokens() / l.streamDuration(capacity)
	if l.shape.Pass.MaxPromptTokens <= 0 {
		return memoryBound
	}
	promptBound := smoothMin(l.promptRates, l.holderCounts, 1)
	return 1 / math.Cbrt(1/(memoryBound*memoryBound*memoryBound)+1/(promptBound*promptBound*promptBound))
}

// promptRate returns the maximum number of prompts per millisecond that an engine processes while
// its batch contains half of the streams that fit into its memory.
func (l *layout) promptRate(i int) float64 {
	e, n := l.engines[i], float64(l.ranges[i].Len())
	return l.shape.Pass.PromptRate(e.LayerTime*n, e.ReadTime*n, l.engineTokens(i)/l.shape.requestTokens()/2)
}

// requestCapacity returns how many request tokens fit into memory at every layer: approximately
// the lowest layer capacity. It uses a mean of twelfth powers instead of the exact minimum, so that
// more memory for one of several equally scarce layers also raises the result.
func (l *layout) requestCapacity() float64 {
	return l.shape.requestTokens() * smoothMin(l.layerCapacity, l.holderCounts, l.shape.requestTokens())
}

// smoothMin returns a smooth approximation of the minimum of values, expressed in a unit, over the
// layers with holders.
func smoothMin(values []float64, holders []int, unit float64) float64 {
	sum, covered := 0.0, 0
	for layer, c := range values {
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

// minShare is the lower bound of a value in units. It avoids a division by zero.
const minShare = 1e-3

// streamDuration returns how long a stream occupies memory when the request capacity is fully
// used, in milliseconds. At each layer, the fastest holders are filled first. The batch of an
// engine consists of the streams that are in its current pass or wait for the next one.
func (l *layout) streamDuration(capacity float64) float64 {
	clear(l.allocated)
	step, squares, hops, read := 0.0, 0.0, 0.0, 0.0
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		e, tokens, passes := l.engines[i], l.engineTokens(i), 0.0
		for layer := r.From; layer < r.To; layer++ {
			fraction := 1 / float64(l.holderCounts[layer])
			if l.layerCapacity[layer] >= 1 {
				fraction = min(tokens, max(capacity-l.allocated[layer], 0)) / min(capacity, l.layerCapacity[layer])
			}
			l.allocated[layer] += tokens
			passes += fraction
		}
		step += passes * e.LayerTime
		hops += passes * hopTime / float64(r.Len())
		squares += passes * e.LayerTime * passes * e.LayerTime
		read += passes * e.ReadTime
	}
	slowdown := 0.0
	if step > 0 {
		slowdown = l.shape.Pass.StreamSlowdown * capacity / l.shape.requestTokens() * squares / step
	}
	return batchWaitFactor*(l.shape.PromptTokens*read+l.shape.AnswerTokens*(step+slowdown)) + l.shape.AnswerTokens*hops
}
