package overload

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// record is a delay that was measured at a time.
type record struct{ at, delay clock.Millis }

// repeated returns a number of measurements of one delay, each taken Interval and the delay after the
// one before.
func repeated(from, delay clock.Millis, count int) []record {
	var list []record
	for i := range count {
		list = append(list, record{from + clock.Millis(i)*(Interval+max(delay, 0)), delay})
	}
	return list
}

func TestMeter(t *testing.T) {
	tests := []struct {
		name           string
		records        []record
		now            clock.Millis
		delay, typical clock.Millis
	}{
		{"nothing measured", nil, 1000, 0, 0},
		{"too few for a typical delay", repeated(1000, 40, typicalOf-1), 1450, 40, 0},
		{"one long delay among short ones", append(repeated(1000, 1, typicalOf), record{1250, 80}), 1250, 80, 1},
		{"a quota that is spent at times", append(append(repeated(1000, 2, 4), repeated(1150, 80, 3)...), repeated(1400, 3, 2)...), 1440, 80, 3},
		{"all long", repeated(1000, 30, typicalOf), 1400, 30, 30},
		{"more samples than the window has time for", repeated(1000, 200, typicalOf), 2575, 200, 200},
		{"left the window", append([]record{{1000, 90}}, repeated(1400, 5, typicalOf)...), 1610, 5, 5},
		{"the next measurement is overdue", repeated(1000, calmDelay, typicalOf), 1385, 150, calmDelay},
		{"the next measurement is overdue after calm ones", repeated(1000, 0, typicalOf), 1425, 150, 0},
		{"the next measurement is not due after calm ones", repeated(1000, 0, typicalOf), 1275, 0, 0},
		{"a clock that is early", repeated(1000, -3, typicalOf), 1200, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m Meter
			for _, r := range tt.records {
				m.Record(r.at, r.delay)
			}
			if got := m.Delay(tt.now); got != tt.delay {
				t.Errorf("got a delay of %d ms, want %d", got, tt.delay)
			}
			if got := m.Typical(); got != tt.typical {
				t.Errorf("got a typical delay of %d ms, want %d", got, tt.typical)
			}
		})
	}
}

// Guards against a fleet whose nodes use up the processors by measuring their own delay: an idle process is
// woken by each measurement.
func TestCalmNodeMeasuresSeldom(t *testing.T) {
	var m Meter
	for _, r := range repeated(1000, 0, typicalOf) {
		m.Record(r.at, r.delay)
	}
	if got, want := m.Next(), calmInterval; got != want {
		t.Errorf("got %d ms until the next measurement of a calm node, want %d", got, want)
	}
	m.Record(1300, calmDelay)
	if got, want := m.Next(), Interval; got != want {
		t.Errorf("got %d ms until the next measurement of a late node, want %d", got, want)
	}
}
