package recovery

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Stream is a stream that waits to be moved to other engines.
type Stream struct {
	// ID identifies the stream within the node, and Attempt is the attempt that was lost.
	ID      uint64
	Attempt int
	// Avoided is the engine that the stream leaves; zero for a stream whose attempt has ended.
	Avoided fleet.Incarnation
	// Priority is the priority of the stream; 0 is the most urgent.
	Priority int
	// LateAt is when the pause of the stream exceeds the largest one of its route.
	LateAt clock.Millis
	// WaitingSince is when the stream began to wait. From HoldUntil on, the rate at which engines
	// take over streams no longer holds it back.
	WaitingSince clock.Millis
	HoldUntil    clock.Millis
}

// late reports whether the pause of the stream is too long already.
func (s Stream) late(now clock.Millis) bool { return now >= s.LateAt }

// Queue holds the streams that wait. The zero value is an empty queue.
type Queue struct {
	streams map[uint64]Stream
}

// Add adds a stream. A stream that waits already for the same attempt keeps its times of waiting,
// since a stalled stream is reported several times.
func (q *Queue) Add(s Stream) {
	if q.streams == nil {
		q.streams = make(map[uint64]Stream)
	}
	if waiting, ok := q.streams[s.ID]; ok && waiting.Attempt == s.Attempt && waiting.Avoided == s.Avoided {
		s.WaitingSince, s.HoldUntil = waiting.WaitingSince, min(waiting.HoldUntil, s.HoldUntil)
	}
	q.streams[s.ID] = s
}

// Remove removes a stream.
func (q *Queue) Remove(id uint64) { delete(q.streams, id) }

// RemoveLeaving removes the streams that wait to leave an engine.
func (q *Queue) RemoveLeaving(engine fleet.Incarnation) {
	maps.DeleteFunc(q.streams, func(_ uint64, s Stream) bool { return s.Avoided == engine })
}

// Len returns the number of streams that wait.
func (q *Queue) Len() int { return len(q.streams) }

// Ordered returns the streams in the order in which they are moved: by priority, then by the time
// left until their pause counts as late. Streams that are late already go last, since moving them
// earlier would only make others late.
func (q *Queue) Ordered(now clock.Millis) []Stream {
	return slices.SortedFunc(maps.Values(q.streams), func(a, b Stream) int {
		return cmp.Or(
			compareBool(a.late(now), b.late(now)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.LateAt, b.LateAt),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
