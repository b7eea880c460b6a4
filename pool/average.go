package pool

// sampleWeight is the weight of a new sample. One in eight follows a change
// within a dozen samples and still smooths single slow answers.
const sampleWeight = 1.0 / 8

// movingAverage is an exponentially weighted moving average. The first sample
// counts whole.
type movingAverage struct {
	value     float64
	hasSample bool
}

func (a *movingAverage) add(sample float64) {
	if !a.hasSample {
		a.value = sample
		a.hasSample = true
		return
	}
	a.value += (sample - a.value) * sampleWeight
}
