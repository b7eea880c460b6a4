// Package record records the input messages of a model and replays them: the same
// messages at the same times produce the same commands.
//
// A recording is a JSON Lines file. The first line is the header with the
// parameters of the model, and each other line is a message with its time.
package record

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
)

// Bounds of a Recorder: the default number of messages, and the maximum number of
// payload bytes.
const (
	DefaultCapacity = 1 << 14
	maxPayloadBytes = 16 << 20
)

// Recorder keeps the newest messages in a bounded ring in memory, because VMs have
// no disks; an operator downloads it while the node runs. It is safe for
// concurrent use.
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

// Option configures a Recorder.
type Option func(*Recorder)

// WithCapacity sets the maximum number of messages; zero disables recording.
func WithCapacity(n int) Option { return func(r *Recorder) { r.capacity = n } }

// NewRecorder returns an empty recorder for a model with the parameters in header.
func NewRecorder(header Header, opts ...Option) *Recorder {
	r := &Recorder{header: header, capacity: DefaultCapacity}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Add records a message, and drops the oldest ones to stay within the bounds.
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

// dropOldest drops the oldest message and counts it as dropped.
func (r *Recorder) dropOldest() {
	r.bytes -= payloadSize(r.entries[r.oldest].msg)
	r.entries[r.oldest] = entry{}
	r.oldest = (r.oldest + 1) % r.capacity
	r.length--
	r.dropped++
}

// payloadSize returns the bytes of a message whose size depends on callers and
// upstreams.
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

// Lines returns the encoded recording and the number of dropped messages. A
// recording with dropped messages shows the latest ones but cannot be replayed.
func (r *Recorder) Lines() ([]byte, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	header := r.header
	header.Dropped = r.dropped
	ordered := make([]entry, 0, r.length)
	for i := range r.length {
		ordered = append(ordered, r.entries[(r.oldest+i)%r.capacity])
	}
	lines, err := encode(header, ordered)
	return lines, r.dropped, err
}
