package lab

import "math"

// Scaled returns a scenario of about so many nodes, with engines, loads at once and the budget
// of repeats in proportion, and the load too unless it is held.
func (s *Scenario) Scaled(nodes int, held bool) *Scenario {
	scaled := *s
	centres := len(s.Fleet.DataCentres())
	scaled.Nodes.PerDataCentre = max(1, int(math.Round(float64(nodes)/float64(centres))))
	times := float64(scaled.Nodes.PerDataCentre) / float64(s.Nodes.PerDataCentre)
	scaled.Fleet = s.Fleet.Scaled(times)
	scaled.FullSpeedLoads = max(1, int(float64(s.FullSpeedLoads)*times))
	scaled.Nodes.RetrySlack = s.Nodes.RetrySlack * times
	if !held {
		scaled.Load.StreamsPerSecond = s.Load.StreamsPerSecond * times
	}
	return &scaled
}

// EngineCount is how many engines a scenario has.
func (s *Scenario) EngineCount() int {
	n := 0
	for _, centre := range s.Fleet.DataCentres() {
		for kind := range s.Fleet.Pipeline().Accelerators {
			n += s.Fleet.EngineCount(centre, kind)
		}
	}
	return n
}

// GrowthExponent is by which power of the size a figure grows between two sizes; NaN where it is
// nothing at one of them.
func GrowthExponent(size, larger int, figure, then float64) float64 {
	if figure <= 0 || then <= 0 || size == larger {
		return math.NaN()
	}
	return math.Log(then/figure) / math.Log(float64(larger)/float64(size))
}
