package admission

import "github.com/hoistjunction/hoistjunction/clock"

// Summary describes the state of one service, for operators.
type Summary struct {
	Service string `json:"service"`
	// Use, Pressure and Level are as in Decision.
	Use      float64 `json:"use"`
	Pressure float64 `json:"pressure"`
	Level    float64 `json:"level"`
	// AgeMillis is the age of the oldest usage report that is included; -1 without reports.
	AgeMillis int64 `json:"age_ms"`
	// Active reports whether the pressure is in force. It is not after a start and without
	// recent reports of other nodes.
	Active bool `json:"active"`
	// Thresholds are those of all priorities but the most urgent one; none if priorities are equal.
	Thresholds []BandSummary `json:"thresholds"`
}

// BandSummary describes the thresholds of one priority. Its requests are held back from From on,
// all of them from To on.
type BandSummary struct {
	Priority int     `json:"priority"`
	From     float64 `json:"from"`
	To       float64 `json:"to"`
}

// Summaries returns the state of the controlled and the observed services in order.
func (c *Controller) Summaries(now clock.Millis) []Summary {
	var list []Summary
	for _, name := range c.Services() {
		s := c.services[name]
		summary := Summary{Service: name, Use: s.pressure.last.use, Pressure: s.pressure.value, Level: s.level, AgeMillis: -1, Active: s.active(now)}
		if s.pressure.begun {
			summary.AgeMillis = int64(clock.AgeOf(s.oldestReport, now))
		}
		for _, priority := range s.bands.priorities {
			if low, high, ok := s.bands.band(priority); ok {
				summary.Thresholds = append(summary.Thresholds, BandSummary{Priority: priority, From: low, To: high})
			}
		}
		list = append(list, summary)
	}
	return list
}
