package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

// Guards against periodic work that wakes a process at times of its own: an idle node was woken sixty times a second,
// and the nodes of a large deployment used up the processors of a machine.
func TestPeriodicWorkMeets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clocktest.NewClock()
		begin := time.Now()
		woken := make(map[time.Duration]bool)
		for i, interval := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond} {
			time.Sleep(time.Duration(7*(i+1)) * time.Millisecond)
			for time.Since(begin) < 3*time.Second*time.Duration(i+1) {
				c.SleepToMultiple(t.Context(), interval)
				woken[time.Since(begin)%(3*time.Second)] = true
			}
		}
		if got, want := len(woken), 60; got != want {
			t.Errorf("got %d times at which periodic work wakes the process in 3 s, want %d", got, want)
		}
	})
}
