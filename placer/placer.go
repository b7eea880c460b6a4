// Package placer carries out what the planner of layers decides: it asks an
// engine for its state and gives it the order.
//
// Every order carries the number of orders that the engine had taken when it
// was asked. Of two planners only one gets through, and an order that is
// carried out late, after a newer one, does nothing.
package placer

import (
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/placement"
)

// ErrOtherIncarnation means that whoever answered is another run of the upstream's process than
// the one that was asked: nothing that was known of that one holds for it.
var ErrOtherIncarnation = errors.New("placer: another run of the upstream answered")

// Results of orders, under the names that engines' clients use.
const (
	Taken      = placement.Taken
	Refused    = placement.Refused
	Busy       = placement.Busy
	Unanswered = placement.Unanswered
	Rejected   = placement.Rejected
)

// Result is what came of an order.
type Result = placement.Result

// State is an engine's own account of itself.
type State struct {
	// Busy tells that it is carrying out an order.
	Busy bool
	// OrdersTaken counts its orders since its start.
	OrdersTaken uint64
	Held        fleet.LayerRange
}

// Engines gives orders.
type Engines interface {
	State(ctx context.Context, address string, upstream fleet.Incarnation) (State, error)
	Place(ctx context.Context, address string, upstream fleet.Incarnation, layers fleet.LayerRange, ordersTaken uint64) (Result, error)
}

const (
	// tickInterval is how often the planner looks at its engines.
	tickInterval = 250 * time.Millisecond
	// coverageLogTicks is at which of the planner's ticks it is looked whether other
	// layers are held than were logged last: once a second.
	coverageLogTicks = 4
	// watchInterval is how often an engine that loads is asked whether it is done,
	// and watchTimeout for how long; it is first asked after firstWatchDelay, when all have been
	// told of the order. A load takes 0.2 s to some three seconds; the list shows its end
	// up to three seconds late.
	firstWatchDelay = 600 * time.Millisecond
	watchInterval   = 300 * time.Millisecond
	watchTimeout    = 12 * time.Second
	// maxConcurrentOrders bounds the orders that are given at a time.
	maxConcurrentOrders = 8
	// slowPlanThreshold is from which time on a plan without orders is logged too: it takes a
	// VM's processor from requests for several turns of the scheduler, of 10 ms each.
	slowPlanThreshold clock.Millis = 50
)

// Placer runs a planner.
type Placer struct {
	model   *placement.Model
	engines Engines
	clock   *clock.Clock
	log     *zap.Logger
	inbox   *inbox
	// queued are orders that nobody gives yet, and orders takes them to who does. The
	// planner itself never waits for that.
	queued queue
	orders chan placement.OrderCmd
	// listAge tells how long ago the list of upstreams was last confirmed.
	listAge func() clock.Millis
	// notifyPlaced tells all nodes, this one included, of an order that was taken or,
	// with holds, carried out.
	notifyPlaced func(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool)
	// loggedCoverage is what was logged last.
	loggedCoverage []string
	// results counts orders by what came of them.
	results *expvar.Map
}

// Option sets up a Placer.
type Option func(*Placer)

// WithSeed sets which of a plan's orders a node gives first. Nodes that find the same
// plan share its orders where their seeds differ.
func WithSeed(seed uint64) Option { return func(p *Placer) { p.queued.seed = seed } }

// WithListAge sets who tells how long ago the list of upstreams was last confirmed. Without
// it the list counts as confirmed at all times.
func WithListAge(age func() clock.Millis) Option { return func(p *Placer) { p.listAge = age } }

// WithResults sets where orders are counted by what came of them.
func WithResults(counts *expvar.Map) Option { return func(p *Placer) { p.results = counts } }

// New returns a placer that runs a model. Placed tells all nodes of an order
// that an engine has taken or carried out.
func New(model *placement.Model, engines Engines, c *clock.Clock, log *zap.Logger,
	placed func(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool), opts ...Option,
) *Placer {
	p := &Placer{
		model: model, engines: engines, clock: c, log: log, notifyPlaced: placed,
		listAge: func() clock.Millis { return 0 }, inbox: newInbox(), orders: make(chan placement.OrderCmd), results: new(expvar.Map),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Send hands a message to the planner. It does not wait.
func (p *Placer) Send(msg placement.Msg) { p.inbox.put(msg) }

// Run plans until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	for range maxConcurrentOrders {
		go p.processOrders(ctx)
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	ticks := 0
	for {
		to, order := p.nextOrder()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.inbox.ready:
			p.processInbox()
		case to <- order:
			p.queued.removeFirst()
		case <-tick.C:
			// A plan is for what is known by now.
			p.processInbox()
			p.queued.add(p.plan())
			if ticks++; ticks%coverageLogTicks == 0 {
				p.logCoverage()
			}
		}
	}
}

// processInbox hands the planner what it has been told.
func (p *Placer) processInbox() {
	for _, msg := range p.inbox.take() {
		if placed, ok := msg.(placement.PlacedMsg); ok {
			p.queued.markOrdered(placed.Upstream)
		}
		p.model.Update(p.clock.Now(), msg)
	}
}

// plan has the planner look at its engines, and logs what that took.
func (p *Placer) plan() []placement.OrderCmd {
	began := p.clock.Now()
	cmds := p.model.Update(began, placement.TickMsg{ListAge: p.listAge()})
	if took := p.clock.Now().Sub(began); took >= slowPlanThreshold || len(cmds) > 0 {
		p.log.Info("planned", zap.Int("orders", len(cmds)), zap.Int64("took_ms", int64(took)))
	}
	return cmds
}

// logCoverage logs which layers are held where, when that has changed.
func (p *Placer) logCoverage() {
	coverage := p.model.Coverage(p.clock.Now())
	if slices.Equal(coverage, p.loggedCoverage) {
		return
	}
	p.loggedCoverage = coverage
	for _, line := range coverage {
		p.log.Info("coverage", zap.String("layers", line))
	}
}

// nextOrder returns the first order that waits, and where it goes; nowhere if none does.
func (p *Placer) nextOrder() (to chan<- placement.OrderCmd, order placement.OrderCmd) {
	order, ok := p.queued.first()
	if !ok {
		return nil, order
	}
	return p.orders, order
}

// processOrders gives orders one after the other.
func (p *Placer) processOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-p.orders:
			p.Send(p.giveOrder(ctx, cmd))
		}
	}
}

// giveOrder asks an engine for its state, and gives it the order if it is idle and
// still holds what the planner believes.
func (p *Placer) giveOrder(ctx context.Context, cmd placement.OrderCmd) placement.OrderResultMsg {
	msg := placement.OrderResultMsg{Upstream: cmd.Upstream, Result: Unanswered}
	state, err := p.engines.State(ctx, cmd.Address, cmd.Upstream)
	if err == nil {
		msg.Held = state.Held
		msg.Result = Busy
		if !state.Busy && state.Held == cmd.ExpectedHeld {
			msg.Result, err = p.engines.Place(ctx, cmd.Address, cmd.Upstream, cmd.Layers, state.OrdersTaken)
		}
	}
	p.log.Info("order", zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address),
		zap.Int("from", cmd.Layers.From), zap.Int("to", cmd.Layers.To), zap.Int("missing", cmd.Missing),
		zap.Uint64("orders_taken", state.OrdersTaken), zap.Int("held_from", state.Held.From),
		zap.Int("held_to", state.Held.To), zap.Stringer("result", msg.Result), logging.Err(err))
	p.results.Add(msg.Result.String(), 1)
	if msg.Result == Taken {
		go p.watchOrder(ctx, cmd)
	}
	if msg.Result == Rejected {
		p.log.Error("order_rejected", zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address), logging.Err(err))
	}
	return msg
}

// watchOrder tells all nodes that an order was taken, and that it was carried out.
func (p *Placer) watchOrder(ctx context.Context, cmd placement.OrderCmd) {
	p.notifyPlaced(cmd.Upstream, cmd.Layers, false)
	until := p.clock.Now().Add(clock.FromDuration(watchTimeout))
	for pause := firstWatchDelay; p.clock.Now() < until && ctx.Err() == nil; pause = watchInterval {
		clock.Sleep(ctx, pause)
		state, err := p.engines.State(ctx, cmd.Address, cmd.Upstream)
		if errors.Is(err, ErrOtherIncarnation) {
			return
		}
		if err != nil || state.Busy || state.Held != cmd.Layers {
			continue
		}
		p.log.Info("carried_out", zap.Stringer("upstream", cmd.Upstream), zap.Int("from", cmd.Layers.From), zap.Int("to", cmd.Layers.To))
		p.notifyPlaced(cmd.Upstream, cmd.Layers, true)
		return
	}
}
