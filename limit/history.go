package limit

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// window is the time span over which requests count against a limit.
	window clock.Millis = 4000
	// bucketWidth is the time span of one bucket, in which requests are counted together.
	bucketWidth clock.Millis = 100
	// numBuckets is how many buckets overlap a window.
	numBuckets = int(window/bucketWidth) + 1
)

// History counts requests by the time at which they were sent, over the last window. The zero
// value is empty.
type History struct {
	// counts is a ring of buckets, with the newest one at newestBucket%numBuckets.
	counts       [numBuckets]uint32
	newestBucket clock.Millis
}

// advance clears the buckets that have left the window.
func (h *History) advance(now clock.Millis) {
	at := now / bucketWidth
	for range min(at-h.newestBucket, clock.Millis(numBuckets)) {
		h.newestBucket++
		h.counts[h.newestBucket%clock.Millis(numBuckets)] = 0
	}
	h.newestBucket = max(h.newestBucket, at)
}

// bucket returns the count that is a number of buckets older than the newest one.
func (h *History) bucket(age int) *uint32 {
	return &h.counts[(h.newestBucket-clock.Millis(age)+clock.Millis(numBuckets))%clock.Millis(numBuckets)]
}

// Add counts requests that are sent now.
func (h *History) Add(now clock.Millis, n int) {
	h.advance(now)
	*h.bucket(0) += uint32(n)
}

// Sum returns the number of requests in the window.
func (h *History) Sum(now clock.Millis) int {
	h.advance(now)
	sum := uint32(0)
	for _, n := range h.counts {
		sum += n
	}
	return int(sum)
}

// DropBefore removes the requests that were sent before a time.
func (h *History) DropBefore(now, at clock.Millis) {
	h.advance(now)
	for age := range numBuckets {
		if h.newestBucket-clock.Millis(age) < at/bucketWidth {
			*h.bucket(age) = 0
		}
	}
}

// Counts returns the counts by bucket, newest first, without the empty buckets at the end.
func (h *History) Counts(now clock.Millis) []uint32 {
	h.advance(now)
	last := 0
	counts := make([]uint32, numBuckets)
	for age := range numBuckets {
		counts[age] = *h.bucket(age)
		if counts[age] > 0 {
			last = age + 1
		}
	}
	return counts[:last]
}

// AddCounts adds counts in the order in which Counts returns them. Counts of buckets that are
// older than the window are ignored.
func (h *History) AddCounts(now clock.Millis, counts []uint32) {
	h.advance(now)
	for age, n := range counts[:min(len(counts), numBuckets)] {
		*h.bucket(age) += n
	}
}

// Minus returns the counts by bucket, as Counts does, less those of another history.
func (h *History) Minus(now clock.Millis, other *History) []uint32 {
	h.advance(now)
	other.advance(now)
	var left History
	left.advance(now)
	for age := range numBuckets {
		if mine, theirs := *h.bucket(age), *other.bucket(age); mine > theirs {
			*left.bucket(age) = mine - theirs
		}
	}
	return left.Counts(now)
}
