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

// Bounds of a Recorder: how many messages it keeps, and how many bytes of what
// they carry.
const (
	DefaultCapacity = 1 << 14
	maxPayloadBytes = 16 << 20
)

// Recorder keeps the newest messages in a bounded ring. VMs have no disks; an
// operator reads it while the node runs. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	header   Header
	entries  []entry
	oldest   int
	length   int
	bytes    int
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
func NewRecorder(start Header, opts ...Option) *Recorder {
	r := &Recorder{header: start, capacity: DefaultCapacity}
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
	if r.entries == nil {
		r.entries = make([]entry, r.capacity)
	}
	if r.length == r.capacity {
		r.dropOldest()
	}
	r.entries[(r.oldest+r.length)%r.capacity] = entry{at: at, msg: msg}
	r.length++
	r.bytes += payloadSize(msg)
	for r.bytes > maxPayloadBytes && r.length > 1 {
		r.dropOldest()
	}
}

// dropOldest drops the oldest message.
func (r *Recorder) dropOldest() {
	r.bytes -= payloadSize(r.entries[r.oldest].msg)
	r.entries[r.oldest] = entry{}
	r.oldest = (r.oldest + 1) % r.capacity
	r.length--
	r.dropped++
}

// payloadSize is the bytes of a message that callers and upstreams decide on.
func payloadSize(msg core.Msg) int {
	switch msg := msg.(type) {
	case core.SubmitMsg:
		return len(msg.Prompt) + len(msg.Body)
	case core.CallDoneMsg:
		return len(msg.Body)
	case core.RelayDoneMsg:
		return len(msg.Finish.Body)
	case *core.StepDoneMsg:
		return 8 * len(msg.Outputs)
	default:
		return 0
	}
}

// Lines returns the recording, and how many messages have been dropped. One
// that has dropped any shows what happened last, but does not replay.
func (r *Recorder) Lines() ([]byte, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := r.header
	start.Dropped = r.dropped
	ordered := make([]entry, 0, r.length)
	for i := range r.length {
		ordered = append(ordered, r.entries[(r.oldest+i)%r.capacity])
	}
	lines, err := encode(start, ordered)
	return lines, r.dropped, err
}
