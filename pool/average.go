package pool

// averageShare is the weight of a new sample. One in eight follows a change
// within a dozen samples and still smooths single slow answers.
const averageShare = 1.0 / 8

// average is an exponentially weighted moving average. The first sample
// counts whole.
type average struct {
	value float64
	seen  bool
}

func (a *average) add(sample float64) {
	if !a.seen {
		a.value = sample
		a.seen = true
		return
	}
	a.value += (sample - a.value) * averageShare
}
