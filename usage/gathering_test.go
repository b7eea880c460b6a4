package usage

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// While a thousand engines got their first layers, each order was a datagram of its own,
// told three times to each of 98 nodes: a quarter of all nodes' processor time. What
// follows the first order within a moment goes with it.
func TestNewsOfAMomentIsToldTogether(t *testing.T) {
	tests := []struct {
		name   string
		make   func(tell func([]int)) *batcher[int]
		counts []int
	}{
		{"gathered first", newBatcher[int], []int{40, 1}},
		{"first at once", newImmediateBatcher[int], []int{1, 39, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				told := make(chan int, 40)
				g := tt.make(func(news []int) { told <- len(news) })
				for i := range 40 {
					g.add(i)
					g.add(i)
					synctest.Wait()
				}
				time.Sleep(time.Second)
				g.add(0)
				time.Sleep(time.Second)
				var counts []int
				for len(told) > 0 {
					counts = append(counts, <-told)
				}
				if !slices.Equal(counts, tt.counts) {
					t.Errorf("got news told together %v, want %v", counts, tt.counts)
				}
			})
		})
	}
}
