// Package burn counts how fast each route and client account uses up its
// error budget: the share of requests that may miss the service level.
//
// A burn rate of 1 uses the budget up exactly over the period that the
// objective is for. Two windows together tell a burst from a lasting fault.
//
//	m := burn.NewMeter()
//	m.Record(now, good)
//	short, long := m.Counts(now)
package burn

import "github.com/hoistjunction/hoistjunction/clock"

// The windows, and how finely each is kept.
const (
	ShortWindow  clock.Millis = 5 * 60_000
	LongWindow   clock.Millis = 60 * 60_000
	shortBuckets              = 10
	longBuckets               = 12
)

// Meter counts the requests of one route and client account in two windows.
type Meter struct {
	short [shortBuckets]bucket
	long  [longBuckets]bucket
}

// bucket counts one part of a window. The part's number tells a stale bucket.
type bucket struct {
	index int64
	count Count
}

// Count is a number of requests, and how many of them were within the service
// level.
type Count struct {
	Total uint32 `json:"total"`
	Good  uint32 `json:"good"`
}

// Add returns the sum of two counts.
func (c Count) Add(d Count) Count { return Count{Total: c.Total + d.Total, Good: c.Good + d.Good} }

// Rate returns the burn rate against an objective, such as 0.95: the share
// that missed over the share that may.
func (c Count) Rate(objective float64) float64 {
	if c.Total == 0 {
		return 0
	}
	missed := float64(c.Total-c.Good) / float64(c.Total)
	return missed / (1 - objective)
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter { return &Meter{} }

// Record counts one request that ended now.
func (m *Meter) Record(now clock.Millis, good bool) {
	record(m.short[:], ShortWindow, now, good)
	record(m.long[:], LongWindow, now, good)
}

// Counts returns what the two windows that end now hold.
func (m *Meter) Counts(now clock.Millis) (short, long Count) {
	return sum(m.short[:], ShortWindow, now), sum(m.long[:], LongWindow, now)
}

func bucketIndex(window clock.Millis, buckets int, now clock.Millis) int64 {
	return int64(now) / (int64(window) / int64(buckets))
}

func record(buckets []bucket, window, now clock.Millis, good bool) {
	part := bucketIndex(window, len(buckets), now)
	b := &buckets[part%int64(len(buckets))]
	if b.index != part {
		*b = bucket{index: part}
	}
	b.count.Total++
	if good {
		b.count.Good++
	}
}

func sum(buckets []bucket, window, now clock.Millis) Count {
	part := bucketIndex(window, len(buckets), now)
	var total Count
	for _, b := range buckets {
		if b.index > part-int64(len(buckets)) {
			total = total.Add(b.count)
		}
	}
	return total
}
