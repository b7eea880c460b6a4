package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Figures of what a layout is worth.
const (
	// uncovered is taken off for each layer without a holder in the data centre. It
	// outweighs all that a layout can gain otherwise.
	uncovered = 10.0
	// hopTime is a pass from one engine to the next inside a data centre, in ms for
	// each token: 0.2 ms on the way and some for the pass itself.
	hopTime = 0.4
	// waiting is the time at an engine in parts of the time of a pass: what comes
	// waits for half a pass on average.
	waiting = 1.5
	// lossEvery is how long an engine is planned to last, in ms. It weighs second
	// holders against memory for requests. Of 50, 100, 180 and 300 s it is the one
	// that served best on three deployments together (docs/CUSTOMER.md).
	lossEvery = 100_000.0
	// usualDemand is the part of the most that a data centre could bear, with no
	// thought for losses, which it is planned for while its demand is not known:
	// fleets are sized so that the busiest hour and the loss of an engine leave as
	// much again.
	usualDemand = 0.4
	// foundAfter is how long it takes until a lost engine is replaced beside the
	// loads: it is found after some 0.35 s, a plan follows within 0.55 s, and all
	// nodes know the new holder after half a second more.
	foundAfter = 1500.0
	// servedInGap is the share of a data centre's requests that the others serve
	// while it lacks a layer.
	servedInGap = 0.3
)

// layout is what the engines of one data centre hold, and weighs it. It is not
// safe for concurrent use.
type layout struct {
	shape Shape
	// engines are the fast ones first, and ranges what each of them holds.
	engines []*Engine
	ranges  []fleet.Range

	// By layer: the tokens of requests that its holders have memory for, how many
	// they are, the sum of their places (the place itself where there is one), the
	// tokens that are given to holders so far, and the time that these take.
	capacity []float64
	reads    []float64
	holders  []int
	places   []int
	given    []float64
	// solo is by engine: how many layers it holds alone.
	solo []int
	// demand is how many streams a ms are to be borne.
	demand float64
}

// newLayout returns a layout of a data centre's engines with what they hold or
// will hold.
func newLayout(shape Shape, engines []*Engine) *layout {
	l := &layout{
		shape: shape, engines: slices.Clone(engines), ranges: make([]fleet.Range, len(engines)),
		capacity: make([]float64, shape.Layers), reads: make([]float64, shape.Layers), holders: make([]int, shape.Layers),
		places: make([]int, shape.Layers), given: make([]float64, shape.Layers), solo: make([]int, len(engines)),
	}
	slices.SortStableFunc(l.engines, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.LayerTime, b.LayerTime), cmp.Compare(b.Most, a.Most), cmp.Compare(a.ID, b.ID))
	})
	l.demand = usualDemand * l.mostRate()
	for i, e := range l.engines {
		l.ranges[i] = e.standing()
	}
	return l
}

// mostRate is how many streams a ms the data centre bears at the most, whatever
// happens when engines are lost: of layouts that fill all engines in the same part.
func (l *layout) mostRate() float64 {
	most := 0.0
	for _, fill := range fills {
		l.spread(fill)
		if l.count() > 0 {
			continue
		}
		if room := l.room(); room > 0 {
			most = max(most, l.rate(room))
		}
	}
	return most
}

// share returns how many tokens of requests an engine has memory for at each of
// its layers.
func (l *layout) share(i int) float64 {
	n := float64(l.ranges[i].Len())
	return max(0, l.engines[i].Memory-n) * l.shape.LayerTokens / n
}

// value is about the logarithm of the share of its requests that the data centre
// serves, less what it is expected to lose of that while engines are replaced, and
// less uncovered for each layer without a holder. It is never over zero.
func (l *layout) value() float64 {
	missing := l.count()
	room := l.room()
	if room <= 0 {
		return -uncovered * float64(l.shape.Layers+missing)
	}
	rate := l.rate(room)
	return l.served(rate) - l.losses(room, rate)/lossEvery - uncovered*float64(missing)
}

// rate is how many streams a ms the data centre bears: by Little's law what there is
// memory for, and no more prompts than the slowest layers read.
func (l *layout) rate(room float64) float64 {
	held := room / l.shape.tokens() / l.lasts(room)
	if l.shape.ReadInPass <= 0 {
		return held
	}
	read := scarcest(l.reads, l.holders, 1)
	return 1 / math.Cbrt(1/(held*held*held)+1/(read*read*read))
}

// readsInTime is how many prompts an engine reads in a ms at the most, with half of
// the streams in its batch that it has memory for. The figures are those of
// catalog.Pipeline.ReadsInTime.
func (l *layout) readsInTime(i int) float64 {
	if l.shape.ReadInPass <= 0 {
		return 0
	}
	e, n := l.engines[i], float64(l.ranges[i].Len())
	batch := l.share(i) / l.shape.tokens() / 2
	pass := l.shape.StepsInPass*e.LayerTime*n*(1+l.shape.Slowdown*batch) + l.shape.ReadInPass*e.ReadTime*n
	return l.shape.ReadInPass / pass / l.shape.Prompt
}

// served is the logarithm of the share of requests that is served at a rate. It
// has no edge at the demand: requests come unevenly, in sizes that differ.
func (l *layout) served(rate float64) float64 {
	if rate <= 0 {
		return -uncovered
	}
	lack := l.demand / rate
	return -math.Log1p(lack*lack*lack) / 3
}

// count fills in what is kept by layer, and returns how many layers have no
// holder.
func (l *layout) count() int {
	clear(l.capacity)
	clear(l.reads)
	clear(l.holders)
	clear(l.places)
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		share, reads := l.share(i), l.readsInTime(i)
		for layer := r.From; layer < r.To; layer++ {
			l.capacity[layer] += share
			l.reads[layer] += reads
			l.holders[layer]++
			l.places[layer] += i
		}
	}
	missing := 0
	for _, n := range l.holders {
		if n == 0 {
			missing++
		}
	}
	return missing
}

// room is how many tokens the layers have memory for: that of the scarcest ones,
// by the mean of the twelfth powers, which also tells of two layouts with one
// scarcest layer each which has more of them.
func (l *layout) room() float64 {
	return l.shape.tokens() * scarcest(l.capacity, l.holders, l.shape.tokens())
}

// scarcest is about the least of what layers with holders have, in a unit.
func scarcest(has []float64, holders []int, unit float64) float64 {
	sum, covered := 0.0, 0
	for layer, c := range has {
		if holders[layer] == 0 {
			continue
		}
		covered++
		x := unit / max(c, leastShare*unit)
		x *= x * x
		x *= x
		sum += x * x
	}
	if covered == 0 {
		return 0
	}
	return 1 / math.Pow(sum/float64(covered), 1.0/12)
}

// leastShare keeps what is as good as nothing from dividing by zero.
const leastShare = 1e-3

// lasts is how long a stream holds its memory when there are as many as there is
// room for, in ms. At each layer the fast holders are filled first. An engine's
// batch is the streams that are at it just then or wait for its next pass.
func (l *layout) lasts(room float64) float64 {
	clear(l.given)
	step, squares, hops, read := 0.0, 0.0, 0.0, 0.0
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		e, share, passes := l.engines[i], l.share(i), 0.0
		for layer := r.From; layer < r.To; layer++ {
			part := 1 / float64(l.holders[layer])
			if l.capacity[layer] >= 1 {
				part = min(share, max(room-l.given[layer], 0)) / min(room, l.capacity[layer])
			}
			l.given[layer] += share
			passes += part
		}
		step += passes * e.LayerTime
		hops += passes * hopTime / float64(r.Len())
		squares += passes * e.LayerTime * passes * e.LayerTime
		read += passes * e.ReadTime
	}
	crowd := l.shape.Slowdown * room / l.shape.tokens() * squares / step
	return waiting*(l.shape.Prompt*read+l.shape.Answer*(step+crowd)) + l.shape.Answer*hops
}

// losses adds up, for the loss of each engine, how long it takes to replace what
// it holds alone or what the rest lack without it, times what is
// served less meanwhile.
func (l *layout) losses(room, rate float64) float64 {
	served := l.served(rate)
	clear(l.solo)
	for layer, n := range l.holders {
		if n == 1 {
			l.solo[l.places[layer]]++
		}
	}
	sum := 0.0
	for i, r := range l.ranges {
		switch {
		case r.Empty():
		case l.solo[i] > 0:
			sum += (foundAfter + l.shape.LoadTime*float64(l.solo[i])) * max(0, served-math.Log(servedInGap))
		default:
			left := max(servedInGap, min(1, l.roomWithout(i)/room))
			sum += (foundAfter + l.shape.LoadTime*float64(r.Len())) * (served - l.served(rate*left))
		}
	}
	return sum
}

// roomWithout is how many tokens an engine's layers have memory for without it.
func (l *layout) roomWithout(i int) float64 {
	least := math.Inf(1)
	for layer := l.ranges[i].From; layer < l.ranges[i].To; layer++ {
		least = min(least, l.capacity[layer])
	}
	return least - l.share(i)
}

// Weights of a layer's need of a holder while a layout is spread. A second holder
// matters more the more layers would be lost with the first, since they take that
// much longer to be loaded again.
const (
	needFirst  = 1e5
	needSecond = 1.0
	needThird  = 1e-3
)

// spread gives each engine, the fast ones first, the run of layers that needs a
// holder most, as long as the fill lets it be.
func (l *layout) spread(fill float64) {
	spans := make([]int, l.shape.Layers)
	holders := make([]int, l.shape.Layers)
	for i, e := range l.engines {
		r := neediest(holders, spans, min(capacity(e, fill), l.shape.Layers))
		l.ranges[i] = r
		for layer := r.From; layer < r.To; layer++ {
			holders[layer]++
			spans[layer] += r.Len()
		}
	}
}

// neediest returns the run of layers of a size whose layers need a holder most.
func neediest(holders, spans []int, size int) fleet.Range {
	best, most := fleet.Range{}, 0.0
	for from := 0; from+size <= len(holders); from++ {
		need := 0.0
		for layer := from; layer < from+size; layer++ {
			switch holders[layer] {
			case 0:
				need += needFirst
			case 1:
				need += needSecond * float64(spans[layer])
			default:
				need += needThird / float64(holders[layer])
			}
		}
		if need > most+1e-9 {
			best, most = fleet.Range{From: from, To: from + size}, need
		}
	}
	return best
}
