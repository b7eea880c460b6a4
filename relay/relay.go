package relay

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// Relay passes callers' requests on to upstreams.
type Relay struct {
	protocol  Protocol
	engines   Engines
	reports   *reports
	clock     *clock.Clock
	log       *zap.Logger
	decider   *decider
	gate      *gate
	upstreams *upstreamPool
	stats     *stats
	limits    atomic.Pointer[catalog.Limits]
	nextID    atomic.Uint64
	open      atomic.Int64
	stopping  atomic.Bool
	// life ends with the node; what must outlast a request hangs on it.
	life context.Context
	// more are counters of other parts of the node, by name.
	more map[string]expvar.Var
	// leaving is told of upstreams that say that they are leaving.
	leaving func(fleet.Incarnation)
	// replaced is told of upstreams at whose addresses others answer.
	replaced func(upstream fleet.Incarnation, address string)
	// listAge tells how long ago the list of upstreams was last confirmed.
	listAge func() clock.Millis
}

// Option sets up a Relay.
type Option func(*Relay)

// WithEngines sets who asks engines for their state.
func WithEngines(e Engines) Option {
	return func(r *Relay) { r.engines, r.reports = e, newReports(e, r.clock) }
}

// WithCounters adds another part's counters to the metrics.
func WithCounters(name string, v expvar.Var) Option { return func(r *Relay) { r.more[name] = v } }

// WithListAge sets who tells how long ago the list of upstreams was last confirmed, for
// logs and metrics; -1 for never.
func WithListAge(age func() clock.Millis) Option { return func(r *Relay) { r.listAge = age } }

// WithSilence sets who is told of engines that do not answer, or do again.
func WithSilence(tell func(dispatch.ResponsivenessCmd)) Option {
	return func(r *Relay) { r.decider.silent = tell }
}

// WithSharing sets who tells other nodes what this one has in use, and what all
// do that tell each other.
func WithSharing(share func(dispatch.ShareUsageCmd)) Option {
	return func(r *Relay) { r.decider.share = share }
}

// WithQuarantine sets who is told of requests that end upstreams.
func WithQuarantine(tell func(quarantine.News)) Option {
	return func(r *Relay) { r.decider.quarantine = tell }
}

// WithPermits sets who sends other nodes questions for permits, and answers to theirs.
func WithPermits(ask func(limit.AskCmd), give func(to string, grant limit.Grant)) Option {
	return func(r *Relay) { r.decider.ask, r.decider.give = ask, give }
}

// WithDialer sets how upstreams are connected to.
func WithDialer(dial dialFunc) Option {
	return func(r *Relay) { r.upstreams = newUpstreamPool(dial, r.clock) }
}

// WithKeysWithin sets how old the newest configuration may be when a request
// with a key is written; zero for no bound.
func WithKeysWithin(d clock.Millis) Option { return func(r *Relay) { r.gate = newGate(r.clock, d) } }

// New returns a relay around a model. Run makes it work.
func New(life context.Context, protocol Protocol, model *dispatch.Model, c *clock.Clock, log *zap.Logger, opts ...Option) *Relay {
	r := &Relay{
		protocol: protocol, clock: c, log: log, gate: newGate(c, 0), stats: newStats(), life: life,
		more: make(map[string]expvar.Var), listAge: neverListed, leaving: func(fleet.Incarnation) {}, replaced: func(fleet.Incarnation, string) {},
	}
	r.decider = newDecider(model, c, log, r.probe, r.identify)
	for _, opt := range opts {
		opt(r)
	}
	r.decider.limited = r.upstreams.noteLimit
	r.more["limits"] = expvar.Func(func() any { return r.decider.limits.Load() })
	return r
}

// neverListed is the age of the list in a relay that nobody tells of it.
func neverListed() clock.Millis { return clock.AgeOf(clock.Never, 0) }

// Run decides until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	defer r.upstreams.closeIdle()
	return r.decider.run(ctx)
}

// SetCatalog takes the configuration that is in force from now on, and when it was known to be
// the newest; nil where only the time is new.
func (r *Relay) SetCatalog(c *catalog.Catalog, confirmed clock.Millis) {
	var edition catalog.Edition
	if c != nil {
		limits := c.Limits()
		r.limits.Store(&limits)
		edition = c.Edition()
	}
	// The decider is told first: what the gate holds back is decided anew, and
	// must not be by the old version.
	r.decider.tell(r.life, dispatch.CatalogMsg{Catalog: c, ConfirmedAt: confirmed})
	r.gate.confirm(edition, confirmed)
}

// SetFleet takes changes of the list of upstreams.
func (r *Relay) SetFleet(changes []fleet.Change) {
	r.decider.tell(r.life, dispatch.FleetMsg{Changes: changes})
	for _, c := range changes {
		switch {
		case c.Gone:
			r.upstreams.drop(c.ID)
			r.reports.forget(c.ID)
		case c.Upstream.Leaving:
			r.upstreams.bar(c.ID, Word{Leaving: true})
		}
	}
}

// Wake takes in that the VM goes on after it was suspended. Connections that were kept may
// have ended meanwhile without a word.
func (r *Relay) Wake() {
	r.upstreams.closeIdle()
	r.decider.tell(r.life, dispatch.VMResumedMsg{})
}

// SetPeers tells which nodes there are, and by whom this one is told what they have in use.
func (r *Relay) SetPeers(msg dispatch.PeersMsg) { r.decider.tell(r.life, msg) }

// SetAsked takes another node's question for permits.
func (r *Relay) SetAsked(from string, ask limit.Ask) {
	r.decider.tell(r.life, dispatch.PermitRequestMsg{From: from, Ask: ask})
}

// SetPermits takes the answer to a question for permits.
func (r *Relay) SetPermits(from string, grant limit.Grant) {
	r.decider.tell(r.life, dispatch.PermitGrantMsg{From: from, Grant: grant})
}

// SetUsage takes what another node has in use or, with total, all nodes of another data
// centre or, with whole, all, and what it knows of limits.
func (r *Relay) SetUsage(msg dispatch.UsageMsg) {
	if msg.WholeDataCentre {
		msg.Node = "all of " + msg.DataCentre
	}
	r.decider.tell(r.life, msg)
}

// SetSilent takes an engine that another node has found silent.
func (r *Relay) SetSilent(upstream fleet.Incarnation) {
	r.decider.tell(r.life, dispatch.PeerUnresponsiveMsg{Upstream: upstream})
}

// SetLost takes a request that another node has lost at an upstream that has ended.
func (r *Relay) SetLost(id work.ID, upstream fleet.Incarnation) {
	r.decider.tell(r.life, dispatch.PeerLossMsg{Work: id, Upstream: upstream})
}

// SetAnswered takes a request under suspicion to which another node has brought an answer.
func (r *Relay) SetAnswered(id work.ID) {
	r.decider.tell(r.life, dispatch.PeerAnswerMsg{Work: id})
}

// SetQuarantined takes requests that are quarantined.
func (r *Relay) SetQuarantined(works []dispatch.Quarantined) {
	r.decider.tell(r.life, dispatch.QuarantinedMsg{Works: works})
}

// SetPlaced takes an order that an engine has taken or, with holds, carried out.
func (r *Relay) SetPlaced(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
	r.decider.tell(r.life, dispatch.PlacedMsg{Upstream: upstream, Layers: layers, Completed: holds})
}

// Stop makes the relay say that it is not ready and end connections with
// their answers. Requests in progress go on.
func (r *Relay) Stop() { r.stopping.Store(true) }

// Stopping tells whether Stop has been called.
func (r *Relay) Stopping() bool { return r.stopping.Load() }

// Ready tells whether the node can serve.
func (r *Relay) Ready() bool { return !r.stopping.Load() && r.decider.ready.Load() }

// InProgress returns how many requests are open.
func (r *Relay) InProgress() int64 { return r.open.Load() }

// Readiness answers the platform's question whether the node can serve.
func (r *Relay) Readiness(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Metrics serves the counters and histograms.
func (r *Relay) Metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	gauges := map[string]int64{
		"open": r.open.Load(), "config_age_ms": int64(r.gate.age()), "list_age_ms": int64(r.listAge()),
		"decisions_waiting": int64(r.decider.inbox.Len()), "decisions_refused": int64(r.decider.inbox.Refused()),
	}
	if err := r.stats.write(w, gauges, r.more); err != nil {
		r.log.Info("metrics_not_sent", logging.Err(err))
	}
}

// ServeHTTP takes one request of a caller. It is the one place where answers are
// broken off: when it returns, net/http takes the answer for whole.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.open.Add(1)
	defer r.open.Add(-1)
	r.stats.count("arrived")
	answer := newAnswerWriter(w, &r.stopping)
	head := r.protocol.CallerHead(req.Header)
	explained := r.serve(answer, head, w, req)
	if !answer.ended() && !req.ProtoAtLeast(1, 1) {
		if err := answer.reset(); err != nil {
			r.log.Warn("not_reset", zap.String("id", head.ID), logging.Err(err))
		}
	}
	r.settle(answer, head.ID, explained)
}

// settle breaks an answer off that has not ended.
func (r *Relay) settle(answer *answerWriter, id string, explained bool) {
	if answer.ended() {
		return
	}
	if !explained {
		r.stats.count("left_open")
		r.log.Error("left_open", zap.String("id", id), zap.Bool("begun", answer.begun()))
	}
	r.stats.count("broken_off")
	panic(http.ErrAbortHandler)
}

// serve answers a request. It returns whether the log says why the answer has not
// ended, if it has not.
func (r *Relay) serve(answer *answerWriter, head CallerHead, w http.ResponseWriter, req *http.Request) (explained bool) {
	began := r.clock.Now()
	body, status := r.readBody(w, req)
	if status != 0 {
		r.log.Info("refused", zap.String("id", head.ID), zap.Int("status", status), zap.String("reason", "body"))
		if err := answer.own(status, "body", 0); err != nil {
			r.log.Info("caller_lost", zap.String("id", head.ID), logging.Err(err))
		}
		return true
	}
	r.boundWriting(w, head)
	s := &session{
		relay: r, id: dispatch.RequestID(r.nextID.Add(1)), head: head, body: body, w: answer, r: req,
		mail: make(chan dispatch.Cmd, mailboxSize), log: r.log, began: began,
		sentTo: make(map[fleet.Incarnation]bool),
	}
	s.run()
	return s.explained
}
