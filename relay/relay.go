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
	protocol     Protocol
	engines      Engines
	reports      *reportCache
	clock        *clock.Clock
	log          *zap.Logger
	decider      *decider
	gate         *configGate
	upstreams    *upstreamPool
	stats        *stats
	limits       atomic.Pointer[catalog.Limits]
	nextID       atomic.Uint64
	openRequests atomic.Int64
	stopping     atomic.Bool
	// lifetime ends with the node; what must outlast a request hangs on it.
	lifetime context.Context
	// extraMetrics are counters of other parts of the node, by name.
	extraMetrics map[string]expvar.Var
	// onLeaving is told of upstreams that say that they are leaving.
	onLeaving func(fleet.Incarnation)
	// onReplaced is told of upstreams at whose addresses others answer.
	onReplaced func(upstream fleet.Incarnation, address string)
	// listAge tells how long ago the list of upstreams was last confirmed.
	listAge func() clock.Millis
}

// Option sets up a Relay.
type Option func(*Relay)

// WithEngines sets who asks engines for their state.
func WithEngines(e Engines) Option {
	return func(r *Relay) { r.engines, r.reports = e, newReportCache(e, r.clock) }
}

// WithCounters adds another part's counters to the metrics.
func WithCounters(name string, v expvar.Var) Option {
	return func(r *Relay) { r.extraMetrics[name] = v }
}

// WithListAge sets who tells how long ago the list of upstreams was last confirmed, for
// logs and metrics; -1 for never.
func WithListAge(age func() clock.Millis) Option { return func(r *Relay) { r.listAge = age } }

// WithResponsivenessHandler sets who is told of engines that do not answer, or do again.
func WithResponsivenessHandler(tell func(dispatch.ResponsivenessCmd)) Option {
	return func(r *Relay) { r.decider.onResponsiveness = tell }
}

// WithUsageSharing sets who tells other nodes what this one has in use, and what all
// do that tell each other.
func WithUsageSharing(share func(dispatch.ShareUsageCmd)) Option {
	return func(r *Relay) { r.decider.shareUsage = share }
}

// WithQuarantine sets who is told of requests that end upstreams.
func WithQuarantine(tell func(quarantine.Event)) Option {
	return func(r *Relay) { r.decider.onQuarantine = tell }
}

// WithPermitExchange sets who sends other nodes questions for permits, and answers to theirs.
func WithPermitExchange(ask func(limit.PermitRequestCmd), give func(to string, grant limit.Grant)) Option {
	return func(r *Relay) { r.decider.requestPermits, r.decider.grantPermits = ask, give }
}

// WithDialer sets how upstreams are connected to.
func WithDialer(dial dialFunc) Option {
	return func(r *Relay) { r.upstreams = newUpstreamPool(dial, r.clock) }
}

// WithMaxConfigAge sets how old the newest configuration may be when a request
// with a key is written; zero for no bound.
func WithMaxConfigAge(d clock.Millis) Option {
	return func(r *Relay) { r.gate = newConfigGate(r.clock, d) }
}

// New returns a relay around a model. Run makes it work.
func New(life context.Context, protocol Protocol, model *dispatch.Model, c *clock.Clock, log *zap.Logger, opts ...Option) *Relay {
	r := &Relay{
		protocol: protocol, clock: c, log: log, gate: newConfigGate(c, 0), stats: newStats(), lifetime: life,
		extraMetrics: make(map[string]expvar.Var), listAge: unknownListAge, onLeaving: func(fleet.Incarnation) {}, onReplaced: func(fleet.Incarnation, string) {},
	}
	r.decider = newDecider(model, c, log, r.probe, r.identify)
	for _, opt := range opts {
		opt(r)
	}
	r.decider.onLimitChanged = r.upstreams.recordLimit
	r.extraMetrics["limits"] = expvar.Func(func() any { return r.decider.limits.Load() })
	return r
}

// unknownListAge is the age of the list in a relay that nobody tells of it.
func unknownListAge() clock.Millis { return clock.AgeOf(clock.Never, 0) }

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
	r.decider.notify(r.lifetime, dispatch.CatalogMsg{Catalog: c, ConfirmedAt: confirmed})
	r.gate.confirm(edition, confirmed)
}

// UpdateFleet takes changes of the list of upstreams.
func (r *Relay) UpdateFleet(changes []fleet.Change) {
	r.decider.notify(r.lifetime, dispatch.FleetMsg{Changes: changes})
	for _, c := range changes {
		switch {
		case c.Gone:
			r.upstreams.remove(c.ID)
			r.reports.evict(c.ID)
		case c.Upstream.Leaving:
			r.upstreams.block(c.ID, UpstreamStatus{Leaving: true})
		}
	}
}

// HandleVMResumed takes in that the VM goes on after it was suspended. Connections that were kept may
// have ended meanwhile without a word.
func (r *Relay) HandleVMResumed() {
	r.upstreams.closeIdle()
	r.decider.notify(r.lifetime, dispatch.VMResumedMsg{})
}

// SetPeers tells which nodes there are, and by whom this one is told what they have in use.
func (r *Relay) SetPeers(msg dispatch.PeersMsg) { r.decider.notify(r.lifetime, msg) }

// HandlePermitRequest takes another node's question for permits.
func (r *Relay) HandlePermitRequest(from string, ask limit.PermitRequest) {
	r.decider.notify(r.lifetime, dispatch.PermitRequestMsg{From: from, PermitRequest: ask})
}

// HandlePermitGrant takes the answer to a question for permits.
func (r *Relay) HandlePermitGrant(from string, grant limit.Grant) {
	r.decider.notify(r.lifetime, dispatch.PermitGrantMsg{From: from, Grant: grant})
}

// HandleUsage takes what another node has in use or, with total, all nodes of another data
// centre or, with whole, all, and what it knows of limits.
func (r *Relay) HandleUsage(msg dispatch.UsageMsg) {
	if msg.WholeDataCentre {
		msg.Node = "all of " + msg.DataCentre
	}
	r.decider.notify(r.lifetime, msg)
}

// HandlePeerUnresponsive takes an engine that another node has found silent.
func (r *Relay) HandlePeerUnresponsive(upstream fleet.Incarnation) {
	r.decider.notify(r.lifetime, dispatch.PeerUnresponsiveMsg{Upstream: upstream})
}

// HandlePeerLoss takes a request that another node has lost at an upstream that has ended.
func (r *Relay) HandlePeerLoss(id work.ID, upstream fleet.Incarnation) {
	r.decider.notify(r.lifetime, dispatch.PeerLossMsg{Work: id, Upstream: upstream})
}

// HandlePeerAnswer takes a request under suspicion to which another node has brought an answer.
func (r *Relay) HandlePeerAnswer(id work.ID) {
	r.decider.notify(r.lifetime, dispatch.PeerAnswerMsg{Work: id})
}

// UpdateQuarantine takes requests that are quarantined.
func (r *Relay) UpdateQuarantine(works []dispatch.Quarantined) {
	r.decider.notify(r.lifetime, dispatch.QuarantinedMsg{Works: works})
}

// HandlePlacement takes an order that an engine has taken or, with holds, carried out.
func (r *Relay) HandlePlacement(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
	r.decider.notify(r.lifetime, dispatch.PlacedMsg{Upstream: upstream, Layers: layers, Completed: holds})
}

// Stop makes the relay say that it is not ready and end connections with
// their answers. Requests in progress go on.
func (r *Relay) Stop() { r.stopping.Store(true) }

// Stopping tells whether Stop has been called.
func (r *Relay) Stopping() bool { return r.stopping.Load() }

// Ready tells whether the node can serve.
func (r *Relay) Ready() bool { return !r.stopping.Load() && r.decider.ready.Load() }

// InProgress returns how many requests are open.
func (r *Relay) InProgress() int64 { return r.openRequests.Load() }

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
		"open": r.openRequests.Load(), "config_age_ms": int64(r.gate.age()), "list_age_ms": int64(r.listAge()),
		"decisions_waiting": int64(r.decider.inbox.Len()), "decisions_refused": int64(r.decider.inbox.Refused()),
	}
	if err := r.stats.write(w, gauges, r.extraMetrics); err != nil {
		r.log.Info("metrics_not_sent", logging.Err(err))
	}
}

// ServeHTTP takes one request of a caller. It is the one place where answers are
// broken off: when it returns, net/http takes the answer for whole.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.openRequests.Add(1)
	defer r.openRequests.Add(-1)
	r.stats.count("arrived")
	answer := newAnswerWriter(w, &r.stopping)
	head := r.protocol.CallerHead(req.Header)
	explained := r.serve(answer, head, w, req)
	if !answer.ended() && !req.ProtoAtLeast(1, 1) {
		if err := answer.resetConnection(); err != nil {
			r.log.Warn("not_reset", zap.String("id", head.ID), logging.Err(err))
		}
	}
	r.abortUnlessComplete(answer, head.ID, explained)
}

// abortUnlessComplete breaks an answer off that has not ended.
func (r *Relay) abortUnlessComplete(answer *answerWriter, id string, explained bool) {
	if answer.ended() {
		return
	}
	if !explained {
		r.stats.count("left_open")
		r.log.Error("left_open", zap.String("id", id), zap.Bool("begun", answer.started()))
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
		if err := answer.writeError(status, "body", 0); err != nil {
			r.log.Info("caller_lost", zap.String("id", head.ID), logging.Err(err))
		}
		return true
	}
	r.setWriteDeadline(w, head)
	s := &session{
		relay: r, id: dispatch.RequestID(r.nextID.Add(1)), head: head, body: body, answer: answer, request: req,
		commands: make(chan dispatch.Cmd, mailboxSize), log: r.log, startedAt: began,
		sentTo: make(map[fleet.Incarnation]bool),
	}
	s.run()
	return s.outcomeLogged
}
