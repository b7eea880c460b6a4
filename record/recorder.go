// Package record writes down the messages that a model took in, and replays
// them: the same messages at the same times give the same commands.
//
// A recording is lines of JSON. The first says how the model was made, and
// each other line is a message with its time.
package record

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
)

// DefaultCapacity is how many messages a Recorder keeps: about the last
// seconds of a busy node.
const DefaultCapacity = 1 << 14

// Recorder keeps the newest messages in a bounded ring. VMs have no disks; an
// operator reads it while the node runs. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	start    Start
	entries  []entry
	next     int
	dropped  uint64
	capacity int
}

type entry struct {
	at  clock.Millis
	msg core.Msg
}

// Option sets up a Recorder.
type Option func(*Recorder)

// WithCapacity sets how many messages are kept; zero keeps none.
func WithCapacity(n int) Option { return func(r *Recorder) { r.capacity = n } }

// NewRecorder returns an empty recorder for a model that was made so.
func NewRecorder(start Start, opts ...Option) *Recorder {
	r := &Recorder{start: start, capacity: DefaultCapacity}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Add notes a message. When the ring is full the oldest is dropped.
func (r *Recorder) Add(at clock.Millis, msg core.Msg) {
	if r.capacity == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < r.capacity {
		r.entries = append(r.entries, entry{at: at, msg: msg})
		return
	}
	r.entries[r.next] = entry{at: at, msg: msg}
	r.next = (r.next + 1) % r.capacity
	r.dropped++
}

// Lines returns the recording, and how many messages have been dropped. One
// that has dropped any shows what happened last, but does not replay.
func (r *Recorder) Lines() ([]byte, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := r.start
	start.Dropped = r.dropped
	ordered := append(append([]entry(nil), r.entries[r.next:]...), r.entries[:r.next]...)
	lines, err := encode(start, ordered)
	return lines, r.dropped, err
}
