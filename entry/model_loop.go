package entry

import (
	"context"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/record"
	"github.com/hoistjunction/hoistjunction/ring"
)

// Capacities of the rings that the model loop reads.
const (
	submissionRingSize = 4096
	eventRingSize      = 65536
	queryRingSize      = 64
)

// modelLoop owns the model. Only its goroutine accesses the model.
type modelLoop struct {
	model       *core.Model
	clock       *clock.Clock
	submissions *ring.Ring[core.Msg]
	events      *ring.Ring[core.Msg]
	queries     *ring.Ring[func(*core.Model)]
	recorder    *record.Recorder
	// execute executes a command that the model returned.
	execute func(core.Cmd)
	// done is closed when the loop stops.
	done chan struct{}
	// pending holds messages that execute produced synchronously.
	pending []core.Msg
}

func newModelLoop(m *core.Model, c *clock.Clock, rec *record.Recorder) *modelLoop {
	return &modelLoop{
		model:       m,
		clock:       c,
		submissions: ring.New[core.Msg](submissionRingSize),
		events:      ring.New[core.Msg](eventRingSize),
		queries:     ring.New[func(*core.Model)](queryRingSize),
		recorder:    rec,
		done:        make(chan struct{}),
	}
}

// run processes messages until the context is canceled. Events have precedence over
// submissions: requests in progress matter more than new ones.
func (l *modelLoop) run(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(core.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case msg := <-l.events.Items():
			l.process(msg)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-l.events.Items():
			l.process(msg)
		case msg := <-l.submissions.Items():
			l.process(msg)
		case query := <-l.queries.Items():
			query(l.model)
		case <-ticker.C:
			l.process(core.TickMsg{})
		}
	}
}

func (l *modelLoop) process(msg core.Msg) {
	l.apply(msg)
	for len(l.pending) > 0 {
		next := l.pending[0]
		l.pending = l.pending[1:]
		l.apply(next)
	}
}

func (l *modelLoop) apply(msg core.Msg) {
	now := l.clock.Now()
	l.recorder.Add(now, msg)
	for _, cmd := range l.model.Update(now, msg) {
		l.execute(cmd)
	}
}

// post adds an event from another goroutine. It blocks while the ring of events is
// full: the number of pending events is bounded by the number of commands that cause
// them.
func (l *modelLoop) post(msg core.Msg) { l.events.Put(msg, l.done) }

// postLocal adds an event from within execute.
func (l *modelLoop) postLocal(msg core.Msg) { l.pending = append(l.pending, msg) }

// submit adds a caller's message, and reports whether the ring of submissions had
// space.
func (l *modelLoop) submit(msg core.Msg) bool { return l.submissions.Offer(msg) }

// query runs a function on the model in the loop's goroutine and waits for its return.
// It returns false if the loop has stopped.
func (l *modelLoop) query(f func(*core.Model)) bool {
	executed := make(chan struct{})
	queued := l.queries.Put(func(m *core.Model) {
		f(m)
		close(executed)
	}, l.done)
	if !queued {
		return false
	}
	select {
	case <-executed:
		return true
	case <-l.done:
		return false
	}
}
