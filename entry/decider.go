package entry

import (
	"context"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/record"
	"github.com/hoistjunction/hoistjunction/ring"
)

// Sizes of the rings before the decisions.
const (
	submissionRingSize = 4096
	eventRingSize      = 65536
	queryRingSize      = 64
)

// modelLoop owns the model. Its goroutine is the only one that touches it.
type modelLoop struct {
	model       *core.Model
	clock       *clock.Clock
	submissions *ring.Ring[core.Msg]
	events      *ring.Ring[core.Msg]
	queries     *ring.Ring[func(*core.Model)]
	recorder    *record.Recorder
	execute     func(core.Cmd)
	done        chan struct{}
	// pending holds messages that carrying out commands has brought about at
	// once.
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

// run takes messages until the context ends. Events go before submissions:
// what is in progress is worth more than what is new.
func (d *modelLoop) run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(core.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case msg := <-d.events.Items():
			d.process(msg)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-d.events.Items():
			d.process(msg)
		case msg := <-d.submissions.Items():
			d.process(msg)
		case ask := <-d.queries.Items():
			ask(d.model)
		case <-ticker.C:
			d.process(core.TickMsg{})
		}
	}
}

func (d *modelLoop) process(msg core.Msg) {
	d.apply(msg)
	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]
		d.apply(next)
	}
}

func (d *modelLoop) apply(msg core.Msg) {
	now := d.clock.Now()
	d.recorder.Add(now, msg)
	for _, cmd := range d.model.Update(now, msg) {
		d.execute(cmd)
	}
}

// post brings an event from another goroutine. It waits for room: there are
// never more events on their way than commands have asked for.
func (d *modelLoop) post(msg core.Msg) { d.events.Put(msg, d.done) }

// postLocal brings an event from within execute.
func (d *modelLoop) postLocal(msg core.Msg) { d.pending = append(d.pending, msg) }

// submit offers a caller's message, and reports whether there was room.
func (d *modelLoop) submit(msg core.Msg) bool { return d.submissions.Offer(msg) }

// query runs a function on the model, in the decider's goroutine, and waits for
// it. It returns false when the decider has stopped.
func (d *modelLoop) query(f func(*core.Model)) bool {
	answered := make(chan struct{})
	put := d.queries.Put(func(m *core.Model) {
		f(m)
		close(answered)
	}, d.done)
	if !put {
		return false
	}
	select {
	case <-answered:
		return true
	case <-d.done:
		return false
	}
}
