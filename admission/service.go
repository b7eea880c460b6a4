package admission

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// maxSilence is the time without a usage report of another node after which nothing is held
	// back, since the node may be partitioned. Reports are sent each 0.3 s, and some are lost.
	maxSilence clock.Millis = 1500
	// warmUp is the time from the first observation after a start or a silence during which nothing
	// is held back, since some nodes have not reported yet.
	warmUp clock.Millis = 1500
	// contentionTime is how long contention outlasts the pressure. Fair shares hold requests back under
	// contention, which lowers the use, and its random variation may then take the pressure to 0.
	contentionTime clock.Millis = 1500
)

// service is the state of a service whose requests differ in priority, or that is observed without
// holding requests back.
type service struct {
	bands    bands
	pressure pressure
	// level is the pressure with hysteresis. One value represents the state of all thresholds:
	// those up to level are in force.
	level float64
	// observedSince is when the current series of observations began.
	observedSince clock.Millis
	// pressed reports whether the pressure has been above 0, and pressedAt when it last was; both are
	// inputs of Contention.
	pressed      bool
	pressedAt    clock.Millis
	newestReport clock.Millis
	oldestReport clock.Millis
}

// observe adds an observation of the use.
func (s *service) observe(now clock.Millis, o observation, hysteresis float64) {
	if !s.pressure.begun {
		s.observedSince = now
	}
	if now <= s.observedSince.Add(warmUp) {
		// The use rises as further nodes report, which is not a rise of the demand.
		s.pressure.begin(now, o)
	} else {
		s.pressure.observe(now, o)
	}
	// The hysteresis is at most the pressure itself, so that no threshold is in force at pressure 0.
	if s.pressure.value > 0 {
		s.pressed, s.pressedAt = true, now
	}
	s.level = max(s.pressure.value, min(s.level, s.pressure.value+min(hysteresis, s.pressure.value)))
}

// reset discards all observations.
func (s *service) reset() { *s = service{bands: s.bands} }

// active reports whether requests may be held back: observations have been made for some time and
// are recent.
func (s *service) active(now clock.Millis) bool {
	return s.pressure.begun && now >= s.observedSince.Add(warmUp) && now <= s.newestReport.Add(maxSilence)
}
