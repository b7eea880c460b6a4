package limit

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// window is the time over which requests count against a limit.
	window clock.Millis = 4000
	// bucketWidth is the part of a window by which requests are counted.
	bucketWidth clock.Millis = 100
	// numBuckets is how many of them a window touches.
	numBuckets = int(window/bucketWidth) + 1
)

// History counts requests by when they were sent, as far back as the window goes. The zero
// value is empty.
type History struct {
	// counts are by step, with the newest at newest%steps.
	counts       [numBuckets]uint32
	newestBucket clock.Millis
}

// advance drops what has left the window.
func (h *History) advance(now clock.Millis) {
	at := now / bucketWidth
	for range min(at-h.newestBucket, clock.Millis(numBuckets)) {
		h.newestBucket++
		h.counts[h.newestBucket%clock.Millis(numBuckets)] = 0
	}
	h.newestBucket = max(h.newestBucket, at)
}

// bucket is where requests of an age count.
func (h *History) bucket(back int) *uint32 {
	return &h.counts[(h.newestBucket-clock.Millis(back)+clock.Millis(numBuckets))%clock.Millis(numBuckets)]
}

// Add counts requests that are sent now.
func (h *History) Add(now clock.Millis, n int) {
	h.advance(now)
	*h.bucket(0) += uint32(n)
}

// Sum returns how many requests are in the window.
func (h *History) Sum(now clock.Millis) int {
	h.advance(now)
	sum := uint32(0)
	for _, n := range h.counts {
		sum += n
	}
	return int(sum)
}

// DropBefore forgets what was sent before a time.
func (h *History) DropBefore(now, at clock.Millis) {
	h.advance(now)
	for back := range numBuckets {
		if h.newestBucket-clock.Millis(back) < at/bucketWidth {
			*h.bucket(back) = 0
		}
	}
}

// Counts returns the counts from the newest step back, without the empty steps at the end.
func (h *History) Counts(now clock.Millis) []uint32 {
	h.advance(now)
	last := 0
	ages := make([]uint32, numBuckets)
	for back := range numBuckets {
		ages[back] = *h.bucket(back)
		if ages[back] > 0 {
			last = back + 1
		}
	}
	return ages[:last]
}

// AddCounts adds counts as Ages returns them. What is further back than the window is left
// out.
func (h *History) AddCounts(now clock.Millis, ages []uint32) {
	h.advance(now)
	for back, n := range ages[:min(len(ages), numBuckets)] {
		*h.bucket(back) += n
	}
}

// Minus returns the counts that are not in another history.
func (h *History) Minus(now clock.Millis, other *History) []uint32 {
	h.advance(now)
	other.advance(now)
	var left History
	left.advance(now)
	for back := range numBuckets {
		if mine, theirs := *h.bucket(back), *other.bucket(back); mine > theirs {
			*left.bucket(back) = mine - theirs
		}
	}
	return left.Counts(now)
}
