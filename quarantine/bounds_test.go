package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// BenchmarkQuarantined measures what it costs to refuse a request that ends upstreams, with
// as many of them known as the table holds, and what it costs to find that others are none.
func BenchmarkQuarantined(b *testing.B) {
	for _, known := range []int{0, quarantine.MaxQuarantined} {
		b.Run(fmt.Sprintf("%d known", known), func(b *testing.B) {
			t := quarantine.New(3_600_000)
			for i := range known {
				t.AdoptConfirmed(0, work.ID{}.ForAccount(fmt.Sprint(i)), 0)
			}
			other := work.ID{}.ForAccount("other")
			for b.Loop() {
				if _, held := t.Quarantined(1, other); held {
					b.Fatal("got a request held that ends nothing")
				}
			}
		})
	}
}

// Thousands of different requests end upstreams, and none of them a third one; what is
// known of them stays bounded, and so does what is told to others of one moment.
func TestManySuspectsStayBounded(t *testing.T) {
	table := quarantine.New(3_600_000)
	told := 0
	for i := range 20_000 {
		now := clock.Millis(i)
		w := work.ID{}.ForAccount(fmt.Sprint("w", i))
		news := table.RecordLoss(now, w, fleet.NewIncarnation(fleet.ID(fmt.Sprint("e", i/5)), 1), quarantine.Ended, 1000, true)
		told += len(news)
	}
	if got, want := told, 20_000; got != want {
		t.Errorf("got %d told, want one each, %d", got, want)
	}
	if got, want := table.Size(), 2048+1024; got > want {
		t.Errorf("got %d suspects and upstreams known, want %d at most", got, want)
	}
}

// BenchmarkLost measures what a loss costs at an upstream where many others were lost.
func BenchmarkLost(b *testing.B) {
	for _, beside := range []int{1, 30, 192} {
		b.Run(fmt.Sprintf("%d beside", beside), func(b *testing.B) {
			now := clock.Millis(0)
			for b.Loop() {
				table := quarantine.New(3_600_000)
				for i := range beside {
					now++
					table.RecordLoss(now, work.ID{byte(i)}, fleet.NewIncarnation("e1", 1), quarantine.Unknown, 1000, true)
				}
				table.SetUpstreamState(now, fleet.NewIncarnation("e1", 1), quarantine.Unresponsive)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*beside), "ns/loss")
		})
	}
}
