package relay

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// Relay forwards callers' requests to upstreams.
type Relay struct {
	protocol  Protocol
	engines   Engines
	reports   *reportCache
	liveness  *livenessChecks
	clock     *clock.Clock
	log       *zap.Logger
	decider   *decider
	gate      *configGate
	upstreams *upstreamPool
	// nodeName is the name of this node, and nodeConns holds the connections to other nodes.
	nodeName     string
	nodeConns    *upstreamConns
	stats        *stats
	limits       atomic.Pointer[catalog.Limits]
	nextID       atomic.Uint64
	openRequests atomic.Int64
	stopping     atomic.Bool
	// endsAt is when a stopping node ends the requests that are still in progress.
	endsAt atomic.Int64
	// aborted is closed when the node ends all requests without the decider.
	aborted   chan struct{}
	abortOnce sync.Once
	// lifetime ends when the node stops; it is the context of work that must outlast a request.
	lifetime context.Context
	// extraMetrics are metrics of other parts of the node, by name.
	extraMetrics map[string]expvar.Var
	// onLeaving is called for upstreams that report that they are leaving.
	onLeaving func(fleet.Incarnation)
	// onReplaced is called for an upstream when another incarnation answers at its address.
	onReplaced func(upstream fleet.Incarnation, address string)
	// listAge returns the time since the list of upstreams was last confirmed; -1 for never.
	listAge func() clock.Millis
	// ownDelay returns how late this node's goroutines run.
	ownDelay func() clock.Millis
	// overloaded reports whether this node has more to do than its processor bears.
	overloaded func() bool
	// contain limits what a panic of an attempt costs.
	contain contain.Func
	// runGuarded is the function of guard.
	runGuarded contain.GuardFunc
}

// guard runs the work of a place, and ends the node if it panics.
func (r *Relay) guard(place string, f func()) { r.runGuarded(place, f) }

// Option configures a Relay.
type Option func(*Relay)

// WithEngines sets the client that queries engines and other upstreams.
func WithEngines(e Engines) Option {
	return func(r *Relay) {
		r.engines, r.reports, r.liveness = e, newReportCache(e, r.clock, r.guard), newLivenessChecks(r.lifetime, e.Probe, r.guard)
	}
}

// WithCounters adds the counters of another part of the node to the metrics.
func WithCounters(name string, v expvar.Var) Option {
	return func(r *Relay) { r.extraMetrics[name] = v }
}

// WithListAge sets the function that returns the time since the list of upstreams was last
// confirmed (-1 for never), for logs and metrics.
func WithListAge(age func() clock.Millis) Option { return func(r *Relay) { r.listAge = age } }

// WithOwnDelay sets the function that returns how late this node's own goroutines ran in the last
// moments.
func WithOwnDelay(delay func() clock.Millis) Option { return func(r *Relay) { r.ownDelay = delay } }

// WithOverload sets the function that reports whether this node has more to do than its processor
// bears, so that it takes no requests of other nodes.
func WithOverload(overloaded func() bool) Option {
	return func(r *Relay) { r.overloaded = overloaded }
}

// WithContainment sets the function that limits what a panic of an attempt costs.
func WithContainment(f contain.Func) Option { return func(r *Relay) { r.contain = f } }

// WithGuard sets the function that ends the node, with Abort, if its work panics.
func WithGuard(guard contain.GuardFunc) Option { return func(r *Relay) { r.runGuarded = guard } }

// WithResponsivenessHandler sets the function that is called when an engine becomes
// unresponsive or responsive again.
func WithResponsivenessHandler(handle func(dispatch.ResponsivenessCmd)) Option {
	return func(r *Relay) { r.decider.onResponsiveness = handle }
}

// WithPeerFindingHandler sets the function that is called for an engine that answered this node after
// another node had found it unresponsive.
func WithPeerFindingHandler(handle func(fleet.Incarnation)) Option {
	return func(r *Relay) { r.decider.onAnswersHere = handle }
}

// WithUsageSharing sets the function that sends this node's usage and the totals aggregated
// from other nodes to its peers.
func WithUsageSharing(share func(dispatch.ShareUsageCmd)) Option {
	return func(r *Relay) { r.decider.shareUsage = share }
}

// WithQuarantine sets the function that is called with news of requests suspected of
// crashing upstreams.
func WithQuarantine(handle func(quarantine.Event)) Option {
	return func(r *Relay) { r.decider.onQuarantine = handle }
}

// WithPermitExchange sets the functions that send requests for rate-limit permits to other
// nodes, and grants for their requests.
func WithPermitExchange(request func(limit.PermitRequestCmd), grant func(to string, g limit.Grant)) Option {
	return func(r *Relay) { r.decider.requestPermits, r.decider.grantPermits = request, grant }
}

// WithDialer sets the function that connects to upstreams.
func WithDialer(dial dialFunc) Option {
	return func(r *Relay) { r.upstreams = newUpstreamPool(dial, r.clock) }
}

// WithMaxConfigAge sets the maximum age of the configuration at which a request with a client
// key may be written; zero for no bound.
func WithMaxConfigAge(d clock.Millis) Option {
	return func(r *Relay) { r.gate = newConfigGate(r.clock, d) }
}

// New returns a relay that follows the decisions of a model. Run starts it.
func New(lifetime context.Context, protocol Protocol, model *dispatch.Model, c *clock.Clock, log *zap.Logger, opts ...Option) *Relay {
	r := &Relay{
		protocol: protocol, clock: c, log: log, gate: newConfigGate(c, 0), stats: newStats(), lifetime: lifetime, aborted: make(chan struct{}),
		extraMetrics: make(map[string]expvar.Var), listAge: unknownListAge, ownDelay: noOwnDelay, overloaded: func() bool { return false }, onLeaving: func(fleet.Incarnation) {}, onReplaced: func(fleet.Incarnation, string) {},
		contain: contain.Direct, runGuarded: contain.Unguarded,
	}
	r.decider = newDecider(model, c, log, r.probe, r.identify)
	WithForwarding("", (&net.Dialer{}).DialContext)(r)
	for _, opt := range opts {
		opt(r)
	}
	r.decider.overloaded = r.overloaded
	r.decider.onLimitChanged = r.upstreams.recordLimit
	r.extraMetrics["capacity_waits"] = expvar.Func(func() any { return r.decider.capacityWaits.Load() })
	r.extraMetrics["fair_shares"] = expvar.Func(func() any { return r.decider.fairShares.Load() })
	r.extraMetrics["admission"] = expvar.Func(func() any { return r.decider.admission.Load() })
	r.extraMetrics["retry_loans"] = expvar.Func(func() any { return r.decider.retryLoans.Load() })
	r.extraMetrics["reachability"] = expvar.Func(func() any { return r.decider.reachability.Load() })
	r.extraMetrics["limits"] = expvar.Func(func() any { return r.decider.limits.Load() })
	return r
}

// unknownListAge is the default list age: the list was never confirmed.
func unknownListAge() clock.Millis { return clock.AgeOf(clock.Never, 0) }

// noOwnDelay is the default delay of this node's goroutines.
func noOwnDelay() clock.Millis { return 0 }

// Run processes decisions until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	defer r.nodeConns.CloseIdleConnections()
	defer r.upstreams.closeIdle()
	return r.decider.run(ctx)
}

// SetCatalog activates a configuration that was the newest one at the confirmed time. If c is
// nil, only the time is updated.
func (r *Relay) SetCatalog(c *catalog.Catalog, confirmed clock.Millis) {
	if c != nil {
		limits := c.Limits()
		r.limits.Store(&limits)
	}
	// The decider is notified first: a request that the gate rejects is decided again, which
	// must not happen with the old configuration.
	r.decider.notify(r.lifetime, dispatch.CatalogMsg{Catalog: c, ConfirmedAt: confirmed})
	r.gate.confirm(c, confirmed)
}

// UpdateFleet applies changes to the list of upstreams.
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

// HandleVMResumed handles the end of a suspension of the VM. Idle connections are closed, since
// they may have died meanwhile without a FIN or reset.
func (r *Relay) HandleVMResumed() {
	r.upstreams.closeIdle()
	r.nodeConns.CloseIdleConnections()
	r.decider.notify(r.lifetime, dispatch.VMResumedMsg{})
}

// HandleConfigCompared handles the end of the comparison of the first configuration with those of other
// nodes.
func (r *Relay) HandleConfigCompared() { r.decider.notify(r.lifetime, dispatch.ConfigComparedMsg{}) }

// SetPeers sets the nodes of the fleet and the peers that report their usage to this node.
func (r *Relay) SetPeers(msg dispatch.PeersMsg) { r.decider.notify(r.lifetime, msg) }

// HandlePermitRequest handles another node's request for rate-limit permits.
func (r *Relay) HandlePermitRequest(from string, ask limit.PermitRequest) {
	r.decider.notify(r.lifetime, dispatch.PermitRequestMsg{From: from, PermitRequest: ask})
}

// HandlePermitGrant handles the answer to a request for rate-limit permits.
func (r *Relay) HandlePermitGrant(from string, grant limit.Grant) {
	r.decider.notify(r.lifetime, dispatch.PermitGrantMsg{From: from, Grant: grant})
}

// HandleUsage handles a usage report, which also contains the rate limits known to its sender.
// A report covers one node, all nodes of another data centre, or all nodes.
func (r *Relay) HandleUsage(msg dispatch.UsageMsg) {
	if msg.WholeDataCentre {
		msg.Node = "all of " + msg.DataCentre
	}
	r.decider.notify(r.lifetime, msg)
}

// HandlePeerUnresponsive handles a peer report of an unresponsive engine.
func (r *Relay) HandlePeerUnresponsive(upstream fleet.Incarnation) {
	r.decider.notify(r.lifetime, dispatch.PeerUnresponsiveMsg{Upstream: upstream})
}

// HandlePeerResponsive handles a peer report of an engine that answers the peer.
func (r *Relay) HandlePeerResponsive(upstream fleet.Incarnation) {
	r.decider.notify(r.lifetime, dispatch.PeerResponsiveMsg{Upstream: upstream})
}

// HandlePeerLoss handles a peer report of a request that was lost at a crashed upstream.
func (r *Relay) HandlePeerLoss(loss dispatch.PeerLossMsg) { r.decider.notify(r.lifetime, loss) }

// HandlePeerAnswer handles a peer report of an answer to a suspected request.
func (r *Relay) HandlePeerAnswer(id work.ID) {
	r.decider.notify(r.lifetime, dispatch.PeerAnswerMsg{Work: id})
}

// HandlePartShare handles a peer report of how many requests have a part.
func (r *Relay) HandlePartShare(share dispatch.PartShareMsg) { r.decider.notify(r.lifetime, share) }

// UpdateQuarantine sets the requests that are quarantined.
func (r *Relay) UpdateQuarantine(works []dispatch.Quarantined) {
	r.decider.notify(r.lifetime, dispatch.QuarantinedMsg{Works: works})
}

// HandlePlacement handles a placement order that an engine has accepted or, if loaded is
// set, completed.
func (r *Relay) HandlePlacement(upstream fleet.Incarnation, layers fleet.LayerRange, loaded bool) {
	r.decider.notify(r.lifetime, dispatch.PlacedMsg{Upstream: upstream, Layers: layers, Completed: loaded})
}

// Stop begins a planned stop: Ready reports false, each connection is closed after its answer, and
// requests that the node may not be able to finish are refused. DrainMsg describes the times.
func (r *Relay) Stop(lateFrom, end clock.Millis) {
	r.endsAt.Store(int64(end))
	r.stopping.Store(true)
	r.decider.notify(r.lifetime, dispatch.DrainMsg{LateFrom: lateFrom, End: end})
}

// End ends the requests that are still in progress after a planned stop.
func (r *Relay) End() { r.decider.notify(r.lifetime, dispatch.NodeEndMsg{}) }

// Stopping reports whether Stop has been called.
func (r *Relay) Stopping() bool { return r.stopping.Load() }

// Ready reports whether the node can serve requests.
func (r *Relay) Ready() bool { return !r.stopping.Load() && r.decider.ready.Load() }

// InProgress returns the number of requests in progress.
func (r *Relay) InProgress() int64 { return r.openRequests.Load() }

// Readiness serves the platform's readiness check.
func (r *Relay) Readiness(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Metrics serves the counters and histograms as JSON.
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

// ServeHTTP handles one request of a caller. Answers are aborted only in handle, since net/http
// completes an answer when its handler returns.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handle(w, req, nil) }

// handle handles one request of a caller, or one that another node has passed on.
func (r *Relay) handle(w http.ResponseWriter, req *http.Request, forwarded *dispatch.Forwarded) {
	r.openRequests.Add(1)
	defer r.openRequests.Add(-1)
	r.stats.count("arrived")
	answer := newAnswerWriter(w, &r.stopping)
	answer.forwarded = forwarded != nil
	head := r.protocol.CallerHead(req.Header)
	reasonLogged := r.serve(answer, head, w, req, forwarded)
	if !answer.ended() && !req.ProtoAtLeast(1, 1) {
		if err := answer.resetConnection(); err != nil {
			r.log.Warn("not_reset", zap.String("id", head.ID), logging.Err(err))
		}
	}
	r.abortUnlessComplete(answer, head.ID, reasonLogged)
}

// abortUnlessComplete aborts an answer that is not complete.
func (r *Relay) abortUnlessComplete(answer *answerWriter, id string, reasonLogged bool) {
	if answer.ended() {
		return
	}
	if !reasonLogged {
		r.stats.count("left_open")
		r.log.Error("left_open", zap.String("id", id), zap.Bool("begun", answer.started()))
	}
	r.stats.count("broken_off")
	panic(http.ErrAbortHandler)
}

// serve handles a request and reports whether the reason for an incomplete answer has been
// logged.
func (r *Relay) serve(answer *answerWriter, head CallerHead, w http.ResponseWriter, req *http.Request, forwarded *dispatch.Forwarded) (reasonLogged bool) {
	startedAt := r.clock.Now()
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
		mailbox: newMailbox(), log: r.log, startedAt: startedAt,
		sentTo: make(map[fleet.Incarnation]bool), forwarded: forwarded,
	}
	if !r.contain("request", func() string { return "id=" + head.ID }, s.run) {
		s.mayHaveExecuted = true
		s.endUndecided(dispatch.ReasonNodeFailed, http.StatusBadGateway)
	}
	return s.outcomeLogged
}
