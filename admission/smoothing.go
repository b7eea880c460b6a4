package admission

import "math"

const (
	// maxVariation is the standard deviation of the use from which it is smoothed, and the one that is
	// left then: half of the range between lowUse and highUse.
	maxVariation = (highUse - lowUse) / 2
	// minGain is the least share of a new use in the smoothed one, so that a use that stays is believed
	// within 3 s, also where a few large requests make it.
	minGain = 0.1
)

// smoothed is a use without most of its random variation. A few streams that begin and end independently
// vary by a large part of their use, which looks like a surge and its end; hundreds hardly do, so that
// their use is taken as it is. The zero value has seen no use.
type smoothed struct {
	use, streams float64
	// count is the number of uses seen.
	count float64
}

// add adds an observed use and the number of streams that make it, and returns the smoothed use. A number
// of zero means that it is not known.
func (s *smoothed) add(use, streams float64) float64 {
	if streams <= 0 {
		*s = smoothed{use: use}
		return use
	}
	s.count++
	gain := max(smoothingGain(max(use, s.use), max(streams, s.streams)), 1/s.count)
	s.use += gain * (use - s.use)
	s.streams += gain * (streams - s.streams)
	return s.use
}

// smoothingGain returns the share of a new value in the smoothed use. The standard deviation of the use of n
// independent streams is about use/sqrt(n); a gain of g leaves about sqrt(g/2) of it.
func smoothingGain(use, streams float64) float64 {
	left := maxVariation / (use / math.Sqrt(streams))
	return min(1, max(minGain, 2*left*left))
}
