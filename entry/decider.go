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
	submissionRing = 4096
	eventRing      = 65536
	questionRing   = 64
)

// decider owns the model. Its goroutine is the only one that touches it.
type decider struct {
	model       *core.Model
	clock       *clock.Clock
	submissions *ring.Ring[core.Msg]
	events      *ring.Ring[core.Msg]
	questions   *ring.Ring[func(*core.Model)]
	recorder    *record.Recorder
	execute     func(core.Cmd)
	done        chan struct{}
	// own holds messages that carrying out commands has brought about at
	// once.
	own []core.Msg
}

func newDecider(m *core.Model, c *clock.Clock, rec *record.Recorder) *decider {
	return &decider{
		model:       m,
		clock:       c,
		submissions: ring.New[core.Msg](submissionRing),
		events:      ring.New[core.Msg](eventRing),
		questions:   ring.New[func(*core.Model)](questionRing),
		recorder:    rec,
		done:        make(chan struct{}),
	}
}

// run takes messages until the context ends. Events go before submissions:
// what is in progress is worth more than what is new.
func (d *decider) run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(core.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case msg := <-d.events.Items():
			d.update(msg)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-d.events.Items():
			d.update(msg)
		case msg := <-d.submissions.Items():
			d.update(msg)
		case ask := <-d.questions.Items():
			ask(d.model)
		case <-ticker.C:
			d.update(core.TickMsg{})
		}
	}
}

func (d *decider) update(msg core.Msg) {
	d.step(msg)
	for len(d.own) > 0 {
		next := d.own[0]
		d.own = d.own[1:]
		d.step(next)
	}
}

func (d *decider) step(msg core.Msg) {
	now := d.clock.Now()
	d.recorder.Add(now, msg)
	for _, cmd := range d.model.Update(now, msg) {
		d.execute(cmd)
	}
}

// tell brings an event from another goroutine. It waits for room: there are
// never more events on their way than commands have asked for.
func (d *decider) tell(msg core.Msg) { d.events.Put(msg, d.done) }

// note brings an event from within execute.
func (d *decider) note(msg core.Msg) { d.own = append(d.own, msg) }

// submit offers a caller's message, and reports whether there was room.
func (d *decider) submit(msg core.Msg) bool { return d.submissions.Offer(msg) }

// ask runs a function on the model, in the decider's goroutine, and waits for
// it. It returns false when the decider has stopped.
func (d *decider) ask(f func(*core.Model)) bool {
	answered := make(chan struct{})
	put := d.questions.Put(func(m *core.Model) {
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
