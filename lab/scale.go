package lab

import "math"

// Scaled returns the scenario scaled to about the given number of nodes. Engines, full-speed
// loads and the slack of the retry budget grow in proportion, and so does the load unless
// keepLoad is set.
func (s *Scenario) Scaled(nodes int, keepLoad bool) *Scenario {
	scaled := *s
	dataCentres := len(s.Fleet.DataCentres())
	scaled.Nodes.PerDataCentre = max(1, int(math.Round(float64(nodes)/float64(dataCentres))))
	factor := float64(scaled.Nodes.PerDataCentre) / float64(s.Nodes.PerDataCentre)
	scaled.Fleet = s.Fleet.Scaled(factor)
	scaled.FullSpeedLoads = max(1, int(float64(s.FullSpeedLoads)*factor))
	scaled.Nodes.RetrySlack = s.Nodes.RetrySlack * factor
	if !keepLoad {
		scaled.Load.StreamsPerSecond = s.Load.StreamsPerSecond * factor
	}
	return &scaled
}

// EngineCount returns the number of engines in all data centres.
func (s *Scenario) EngineCount() int {
	n := 0
	for _, dataCentre := range s.Fleet.DataCentres() {
		for kind := range s.Fleet.Pipeline().Accelerators {
			n += s.Fleet.EngineCount(dataCentre, kind)
		}
	}
	return n
}

// GrowthExponent returns the exponent of the power law by which a figure grows from one size to
// a larger one; NaN if the figure is not positive at one of them.
func GrowthExponent(size, largerSize int, value, largerValue float64) float64 {
	if value <= 0 || largerValue <= 0 || size == largerSize {
		return math.NaN()
	}
	return math.Log(largerValue/value) / math.Log(float64(largerSize)/float64(size))
}
