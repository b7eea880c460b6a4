// Package placer executes the decisions of the placement planner: it requests the state of each
// engine and sends it the order.
//
// Each order contains the number of orders that the engine had accepted when its state was
// requested. If two planners send orders at the same time, the engine accepts only one of them,
// and an order that arrives after a newer one has no effect.
package placer

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/placement"
)

// ErrOtherIncarnation means that the response came from another incarnation of the upstream than
// the requested one, so that nothing known about the requested one applies.
var ErrOtherIncarnation = errors.New("placer: another incarnation of the upstream responded")

// Results of orders, as returned by implementations of Engines.
const (
	Taken      = placement.Taken
	Refused    = placement.Refused
	Busy       = placement.Busy
	Unanswered = placement.Unanswered
	Rejected   = placement.Rejected
)

// Result is the result of an order.
type Result = placement.Result

// State is the state reported by an engine.
type State struct {
	// Busy is set while the engine executes an order.
	Busy bool
	// OrdersTaken is the number of orders that the engine has accepted since its start.
	OrdersTaken uint64
	Held        fleet.LayerRange
}

// Engines is a client for the placement API of engines.
type Engines interface {
	State(ctx context.Context, address string, upstream fleet.Incarnation) (State, error)
	Place(ctx context.Context, address string, upstream fleet.Incarnation, layers fleet.LayerRange, ordersTaken uint64) (Result, error)
}

const (
	// tickInterval is the time between two ticks of the planner.
	tickInterval = 250 * time.Millisecond
	// coverageLogTicks is the number of ticks between two checks for changed coverage, which is
	// once per second.
	coverageLogTicks = 4
	// While an engine loads layers, its state is requested every watchInterval, for at most
	// watchTimeout. The first request is sent after firstWatchDelay, when all nodes know the
	// order. Loading takes from 0.2 s to about three seconds, and the list shows the result up to
	// three seconds late.
	firstWatchDelay = 600 * time.Millisecond
	watchInterval   = 300 * time.Millisecond
	watchTimeout    = 12 * time.Second
	// maxConcurrentOrders is the maximum number of orders that are being sent at a time.
	maxConcurrentOrders = 8
	// slowPlanThreshold is the duration from which a plan is logged even if it has no orders.
	// During such a plan, requests on the VM have to wait for several scheduler time slices of 10
	// ms.
	slowPlanThreshold clock.Millis = 50
)

// Placer runs a planner and executes its orders.
type Placer struct {
	model   *placement.Model
	engines Engines
	clock   *clock.Clock
	log     *zap.Logger
	inbox   *inbox
	// queued contains the orders that no worker has started; orders passes them to the workers.
	// The planner never waits for a worker.
	queued queue
	orders chan placement.OrderCmd
	// listAge returns the time since the last confirmation that the upstream list is current.
	listAge func() clock.Millis
	// notifyPlaced informs all nodes, including this one, that an engine has accepted an order or,
	// if completed is set, executed it.
	notifyPlaced func(upstream fleet.Incarnation, layers fleet.LayerRange, completed bool)
	// loggedCoverage is the coverage that was logged last.
	loggedCoverage []string
	// results counts the orders by result.
	results *expvar.Map
	// contain runs the work on one message or one order.
	contain contain.Func
}

// Option configures a Placer.
type Option func(*Placer)

// WithSeed sets which order of a plan this node sends first. Nodes that compute the same plan
// share its orders if their seeds differ.
func WithSeed(seed uint64) Option { return func(p *Placer) { p.queued.seed = seed } }

// WithListAge sets the function that returns the time since the last confirmation of the upstream
// list. By default the list always counts as confirmed.
func WithListAge(age func() clock.Millis) Option { return func(p *Placer) { p.listAge = age } }

// WithContainment sets the function that contains panics in the work on one message or one order. Without it they end the
// process.
func WithContainment(f contain.Func) Option { return func(p *Placer) { p.contain = f } }

// WithResults sets the map in which orders are counted by result.
func WithResults(counts *expvar.Map) Option { return func(p *Placer) { p.results = counts } }

// New returns a placer that runs a model. It calls placed to inform all nodes of an order that an
// engine has accepted or completed.
func New(model *placement.Model, engines Engines, c *clock.Clock, log *zap.Logger,
	placed func(upstream fleet.Incarnation, layers fleet.LayerRange, completed bool), opts ...Option,
) *Placer {
	p := &Placer{
		model: model, engines: engines, clock: c, log: log, notifyPlaced: placed,
		listAge: func() clock.Millis { return 0 }, inbox: newInbox(), orders: make(chan placement.OrderCmd), results: new(expvar.Map), contain: contain.Direct,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Send passes a message to the planner without blocking.
func (p *Placer) Send(msg placement.Msg) { p.inbox.put(msg) }

// Run runs the planner until the context is cancelled.
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
			// Plan with all messages received so far.
			p.processInbox()
			p.queued.add(p.plan())
			if ticks++; ticks%coverageLogTicks == 0 {
				p.logCoverage()
			}
		}
	}
}

// processInbox passes the received messages to the planner.
func (p *Placer) processInbox() {
	for _, msg := range p.inbox.take() {
		if placed, ok := msg.(placement.PlacedMsg); ok {
			p.queued.markOrdered(placed.Upstream)
		}
		p.contain("planner_message", func() string { return fmt.Sprintf("%T%+v", msg, msg) }, func() { p.model.Update(p.clock.Now(), msg) })
	}
}

// plan runs a tick of the planner and logs its duration.
func (p *Placer) plan() []placement.OrderCmd {
	began := p.clock.Now()
	cmds := p.model.Update(began, placement.TickMsg{ListAge: p.listAge()})
	if took := p.clock.Now().Sub(began); took >= slowPlanThreshold || len(cmds) > 0 {
		p.log.Info("planned", zap.Int("orders", len(cmds)), zap.Int64("took_ms", int64(took)))
	}
	return cmds
}

// logCoverage logs the coverage if it has changed since the last log entry.
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

// nextOrder returns the next queued order and the channel to send it to, which is nil if there is
// no order.
func (p *Placer) nextOrder() (to chan<- placement.OrderCmd, order placement.OrderCmd) {
	order, ok := p.queued.first()
	if !ok {
		return nil, order
	}
	return p.orders, order
}

// processOrders sends orders one at a time until the context is cancelled.
func (p *Placer) processOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-p.orders:
			msg := placement.OrderResultMsg{Upstream: cmd.Upstream, Result: Unanswered}
			p.contain("order", orderInput(cmd), func() { msg = p.giveOrder(ctx, cmd) })
			p.Send(msg)
		}
	}
}

// orderInput returns the text of an order, for the log.
func orderInput(cmd placement.OrderCmd) func() string {
	return func() string { return fmt.Sprintf("%+v", cmd) }
}

// giveOrder requests the state of an engine and sends it the order if it is idle and still holds
// the range that the planner expected.
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
		go p.contain("order_watch", orderInput(cmd), func() { p.watchOrder(ctx, cmd) })
	}
	if msg.Result == Rejected {
		p.log.Error("order_rejected", zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address), logging.Err(err))
	}
	return msg
}

// watchOrder informs all nodes that an order was accepted and, once the engine holds the layers,
// that it was completed.
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
