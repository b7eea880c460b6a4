package admission

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// lowUse is the sustained use from which the pressure is above 0, and highUse the one at which
	// it is 1, so that all but the most urgent requests are held back. Chains are built up to 0.94
	// of an engine's memory. A burst of urgent requests is not known to the nodes until the next
	// reports arrive, 0.3 to 0.6 s later. With streams of 2 s, demand that exceeds the capacity by
	// a fifth takes 0.06 of it in 0.6 s, which is the room above highUse.
	lowUse  = 0.80
	highUse = 0.88
	// streamTime is the time in ms in which the use approaches the value that a rate of new streams
	// leads to. Streams last one to three seconds.
	streamTime = 2200.0
	// pressureRate is the change of the pressure per ms and unit of use. The loop of all nodes
	// oscillates if this rate, times the demand that is held back or admitted, times the delay of
	// its effect, exceeds 1.5. The delay is at most 0.6 s for the report and 0.3 s until the next
	// observation. With a demand of twice the capacity the product is 0.6.
	pressureRate = 0.35e-3
	// excessRate is added to pressureRate for the use above highUse, and for the use below idleUse,
	// per ms and unit of use.
	// An engine whose memory is full reports no more use however large the demand is, so that
	// pressureRate alone would raise the pressure too slowly. After a burst, it would hold back
	// requests for seconds although engines are free. The use does not fall to idleUse by the
	// variation of the admitted requests alone.
	excessRate = 1.25e-3
	idleUse    = 0.7
	// surgeUse is the expected use from which pressureRate is too slow: demand beyond the capacity
	// fills the engines within one or two ages of a report. It exceeds 1 by the random variation
	// of the expected use. surgeRate is added to pressureRate for the part above surgeUse, per ms and
	// unit of use, in proportion to the requests that are still admitted: only these can be held back
	// in addition, and a faster rise makes the loop of all nodes oscillate.
	surgeUse  = 1.1
	surgeRate = 2.0e-3
	// maxExpectedUse bounds the expected use. A rise steeper than that of a demand of twice the
	// capacity is the end of a gap in the reports.
	maxExpectedUse = 2.0
	// assumedFall is by how much the use is assumed to fall below its sustained value while
	// requests are held back, if it has not fallen further yet.
	assumedFall = 0.1
)

// pressure is the pressure of a service, computed from a series of observed uses. In the long run
// it is the position of the use between lowUse and highUse.
type pressure struct {
	// value is at least 0 and at most 1.
	value float64
	// last is the last observation, and smoothed its use without most of the random variation.
	last       observation
	smoothed   smoothed
	observedAt clock.Millis
	begun      bool
}

// begin starts a series of observations at the pressure that the use leads to in the long run, so that
// a node that starts has about the same pressure as the others.
func (p *pressure) begin(now clock.Millis, o observation) {
	use := p.smooth(o)
	value := min(max((use-lowUse)/(highUse-lowUse), 0), 1)
	*p = pressure{value: value, last: o, smoothed: p.smoothed, observedAt: now, begun: true}
}

// observe adds an observation. The pressure rises while the expected use exceeds the one that
// corresponds to the pressure, and falls while it is below.
func (p *pressure) observe(now clock.Millis, o observation) {
	elapsed := float64(now.Sub(p.observedAt))
	if elapsed <= 0 {
		return
	}
	use, expected := p.use(o, elapsed)
	rate := pressureRate*(expected-p.sustainedUse()) + excessRate*(max(0, use-highUse)-max(0, idleUse-use)) +
		surgeRate*(1-p.value)*max(0, expected-surgeUse)
	p.value = min(max(p.value+rate*elapsed, 0), 1)
	p.last, p.observedAt = o, now
}

// use returns the use that an observation counts with, and the use that results if the rate of new
// streams stays the same: the use plus streamTime times its slope. Without pressure both are smoothed,
// since random variation must not begin it; under pressure the loop of all nodes needs the use without
// a delay. The slope counts only while the capacity is unchanged, since engines that appear or vanish
// change the use at once.
func (p *pressure) use(o observation, elapsed float64) (use, expected float64) {
	smoothedBefore := p.smoothed.use
	smoothed := p.smooth(o)
	before := p.last.use
	use = o.use
	if p.value == 0 {
		before, use = smoothedBefore, smoothed
	}
	if o.capacity != p.last.capacity {
		return use, use
	}
	return use, min(use+streamTime*(use-before)/elapsed, maxExpectedUse)
}

// smooth adds an observation to the smoothed use and returns it.
func (p *pressure) smooth(o observation) float64 {
	if o.capacity != p.last.capacity {
		p.smoothed = smoothed{}
	}
	return p.smoothed.add(o.use, o.streams)
}

// sustainedUse returns the use at which the pressure stays at its value.
func (p *pressure) sustainedUse() float64 { return lowUse + p.value*(highUse-lowUse) }

// timeToFall estimates the time until the pressure has fallen to a lower value.
func (p *pressure) timeToFall(to float64) clock.Millis {
	rate := pressureRate * max(p.sustainedUse()-p.last.use, assumedFall)
	return clock.Millis(max(0, p.value-to) / rate)
}
