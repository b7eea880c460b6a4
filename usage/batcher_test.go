package usage

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against one datagram for each event in a burst. While a thousand engines got their
// first layers, each order was a datagram that was sent three times to each of 98 nodes, which
// took a quarter of all nodes' processor time.
func TestBatcherSendsTogether(t *testing.T) {
	tests := []struct {
		name       string
		newBatcher func(send func([]int)) *batcher[int]
		sizes      []int
	}{
		{"all items delayed", newBatcher[int], []int{40, 1}},
		{"first item at once", newImmediateBatcher[int], []int{1, 39, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := make(chan int, 40)
				b := tt.newBatcher(func(items []int) { sent <- len(items) })
				for i := range 40 {
					b.add(i)
					b.add(i)
					synctest.Wait()
				}
				time.Sleep(time.Second)
				b.add(0)
				time.Sleep(time.Second)
				var sizes []int
				for len(sent) > 0 {
					sizes = append(sizes, <-sent)
				}
				if !slices.Equal(sizes, tt.sizes) {
					t.Errorf("got batches of %v items, want %v", sizes, tt.sizes)
				}
			})
		})
	}
}
