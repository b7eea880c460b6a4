package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/reachability"
	"github.com/hoistjunction/hoistjunction/ring"
)

const (
	// maxQueuedMessages bounds the messages that wait for the decider. While the queue is full,
	// the node rejects new requests.
	maxQueuedMessages = 4096
	// tickInterval is the interval of the ticks sent to the model, which also drive the probes
	// of suspected upstreams.
	tickInterval = 100 * time.Millisecond
	// limitLogInterval is the minimum time in ms between two log lines on the rate limit of one
	// upstream.
	limitLogInterval clock.Millis = 1000
)

// envelope is a message with the mailbox of its request, which is set for arrivals only.
type envelope struct {
	msg     dispatch.Msg
	mailbox *mailbox
}

// decider runs the model in a single goroutine and executes the commands it returns.
type decider struct {
	model *dispatch.Model
	clock *clock.Clock
	log   *zap.Logger
	inbox *ring.Ring[envelope]
	// mailboxes holds the mailboxes of the requests in progress.
	mailboxes map[dispatch.RequestID]*mailbox
	probe     func(dispatch.ProbeCmd)
	// identify asks which upstream uses an address.
	identify func(dispatch.IdentifyCmd)
	// onResponsiveness is called when an engine becomes unresponsive or responsive again; the
	// placement of layers uses it.
	onResponsiveness func(dispatch.ResponsivenessCmd)
	// onAnswersHere is called for an engine that answered this node after another node had found it
	// unresponsive.
	onAnswersHere func(fleet.Incarnation)
	// shareUsage sends this node's usage and the totals aggregated from other nodes to its
	// peers.
	shareUsage func(dispatch.ShareUsageCmd)
	// requestPermits sends requests for rate-limit permits to other nodes, and grantPermits the
	// answers to the requests of others.
	requestPermits func(limit.PermitRequestCmd)
	grantPermits   func(to string, grant limit.Grant)
	// onLimitChanged is called when the rate limit of an upstream starts, changes or ends.
	onLimitChanged func(upstream fleet.Incarnation, limited bool)
	// onQuarantine is called with news of requests suspected of crashing upstreams.
	onQuarantine func(quarantine.Event)
	// overloaded reports whether this node has more to do than its processor bears.
	overloaded func() bool
	// overloadReported is what the model was last told of it.
	overloadReported bool
	ready            atomic.Bool
	// limitLoggedAt is the time of the last log line on an upstream's limit, and unloggedLimits
	// counts the changes that were not logged since.
	limitLoggedAt  map[fleet.Incarnation]clock.Millis
	unloggedLimits int
	// recovery fires when the model moves the streams that wait to leave engines.
	recovery *time.Timer
	// limits are the active rate limits as of the last tick.
	limits atomic.Pointer[[]limit.Summary]
	// capacityWaits summarises the waits for capacity as of the last tick.
	capacityWaits atomic.Pointer[dispatch.CapacityWaits]
	// admission is the state of admission control as of the last tick.
	admission atomic.Pointer[[]admission.Summary]
	// retryLoans counts the retries borrowed and lent as of the last tick.
	retryLoans atomic.Pointer[budget.Counts]
	// fairShares is the division of capacity among client accounts as of the last tick.
	fairShares atomic.Pointer[dispatch.FairShares]
	// reachability is the evidence about the links to upstreams as of the last tick.
	reachability atomic.Pointer[[]reachability.Summary]
}

func newDecider(model *dispatch.Model, c *clock.Clock, log *zap.Logger, probe func(dispatch.ProbeCmd), identify func(dispatch.IdentifyCmd)) *decider {
	return &decider{
		model: model, clock: c, log: log, probe: probe, identify: identify, onResponsiveness: func(dispatch.ResponsivenessCmd) {},
		onAnswersHere:  func(fleet.Incarnation) {},
		overloaded:     func() bool { return false },
		shareUsage:     func(dispatch.ShareUsageCmd) {},
		requestPermits: func(limit.PermitRequestCmd) {},
		grantPermits:   func(string, limit.Grant) {},
		onLimitChanged: func(fleet.Incarnation, bool) {},
		onQuarantine:   func(quarantine.Event) {},
		inbox:          ring.New[envelope](maxQueuedMessages), mailboxes: make(map[dispatch.RequestID]*mailbox),
		limitLoggedAt: make(map[fleet.Incarnation]clock.Millis), recovery: stoppedTimer(),
	}
}

// offerArrival queues a new request and reports whether the queue had space for it.
func (d *decider) offerArrival(msg dispatch.ArriveMsg, box *mailbox) bool {
	return d.inbox.Offer(envelope{msg: msg, mailbox: box})
}

// notify queues a message for the model and waits for queue space until ctx ends.
func (d *decider) notify(ctx context.Context, msg dispatch.Msg) {
	d.inbox.Put(envelope{msg: msg}, ctx.Done())
}

// run processes messages until ctx ends.
func (d *decider) run(ctx context.Context) error {
	tick := time.NewTimer(d.clock.UntilMultiple(tickInterval))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-d.inbox.Items():
			d.decide(e)
		case <-d.recovery.C:
			d.decide(envelope{msg: dispatch.RecoverMsg{}})
		case <-tick.C:
			tick.Reset(d.clock.UntilMultiple(tickInterval))
			d.reportOverload()
			d.decide(envelope{msg: dispatch.TickMsg{}})
			d.ready.Store(d.model.Ready(d.clock.Now()))
			limits := d.model.Limits(d.clock.Now())
			d.limits.Store(&limits)
			waits := d.model.CapacityWaits()
			d.capacityWaits.Store(&waits)
			pressures := d.model.Admission(d.clock.Now())
			d.admission.Store(&pressures)
			loans := d.model.RetryLoans()
			d.retryLoans.Store(&loans)
			shares := d.model.FairShares(d.clock.Now())
			d.fairShares.Store(&shares)
			reach := d.model.Reachability(d.clock.Now())
			d.reachability.Store(&reach)
		}
	}
}

// reportOverload tells the model when an overload of this node begins or ends.
func (d *decider) reportOverload() {
	if overloaded := d.overloaded(); overloaded != d.overloadReported {
		d.overloadReported = overloaded
		d.decide(envelope{msg: dispatch.OverloadMsg{Overloaded: overloaded}})
	}
}

func (d *decider) decide(e envelope) {
	if arrival, ok := e.msg.(dispatch.ArriveMsg); ok {
		d.mailboxes[arrival.Request] = e.mailbox
	}
	for _, cmd := range d.model.Update(d.clock.Now(), e.msg) {
		d.execute(cmd)
	}
	if ended, ok := e.msg.(dispatch.RequestEndedMsg); ok {
		delete(d.mailboxes, ended.Request)
	}
}

// execute passes a command to the session or handler that carries it out.
func (d *decider) execute(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.SlotWaitCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.RespondCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.RelayFailureCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.AbortResponseCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.EndRequestCmd:
		d.deliver(cmd.Answer.Request, cmd)
	case dispatch.MigrateCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.AbandonCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.RecoverCmd:
		d.recovery.Reset(cmd.After.Duration())
	case dispatch.RecheckAttemptCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.RecheckDeadlineCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.ShareUsageCmd:
		d.shareUsage(cmd)
	case dispatch.ResponsivenessCmd:
		d.onResponsiveness(cmd)
	case dispatch.AnswersHereCmd:
		d.onAnswersHere(cmd.Upstream)
	case dispatch.ProbeCmd:
		d.probe(cmd)
	case dispatch.IdentifyCmd:
		d.identify(cmd)
	case dispatch.QuarantineCmd:
		d.onQuarantine(cmd.Event)
	case dispatch.RequestPermitsCmd:
		d.requestPermits(cmd.PermitRequestCmd)
	case dispatch.GrantPermitsCmd:
		d.grantPermits(cmd.To, cmd.Grant)
	case dispatch.LimitChangedCmd:
		d.onLimitChanged(cmd.Upstream, cmd.Rate > 0)
		d.logLimit(cmd)
	default:
		d.logCommand(cmd)
	}
}

// logCommand logs a command that only reports a decision.
func (d *decider) logCommand(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.CapacityWaitCmd:
		d.logCapacityWait(cmd)
	case dispatch.CapacityWaitEndCmd:
		d.logCapacityWaitEnd(cmd)
	case dispatch.ReachCmd:
		d.logReach(cmd)
	case dispatch.BackOffCmd:
		d.log.Info("rest", zap.Stringer("upstream", cmd.Upstream), zap.Int64("asked_ms", int64(cmd.Requested)),
			zap.Int64("for_ms", int64(cmd.Until.Sub(d.clock.Now()))))
	case dispatch.SuspectCmd:
		d.log.Info("suspect", zap.Stringer("upstream", cmd.Upstream), zap.Int("strikes", cmd.Failures),
			zap.Stringer("cause", cmd.Cause), zap.Int64("for_ms", int64(cmd.Until.Sub(d.clock.Now()))))
	}
}

// logReach logs that the evidence about the links to a data centre has led to another state.
func (d *decider) logReach(cmd dispatch.ReachCmd) {
	kind := zap.Stringer("kind", cmd.Kind)
	if cmd.State == reachability.Reached {
		kind = zap.Skip()
	}
	d.log.Info("reach", zap.String("data_centre", cmd.DataCentre), zap.Stringer("state", cmd.State), zap.Int("failed", cmd.Failed), zap.Int("listed", cmd.Listed),
		kind, zap.Int64("answer_age_ms", int64(cmd.AnswerAge)), zap.Int64("lasted_ms", int64(cmd.Lasted)))
}

// logLimit logs that a rate limit has started, changed or ended. An upstream that advertises
// another limit in every answer gets at most one line per limitLogInterval.
func (d *decider) logLimit(cmd dispatch.LimitChangedCmd) {
	now := d.clock.Now()
	if last, ok := d.limitLoggedAt[cmd.Upstream]; ok && now < last.Add(limitLogInterval) && cmd.Rate > 0 {
		d.unloggedLimits++
		return
	}
	d.limitLoggedAt[cmd.Upstream] = now
	if cmd.Rate == 0 {
		delete(d.limitLoggedAt, cmd.Upstream)
	}
	d.log.Info("limit", zap.Stringer("upstream", cmd.Upstream), zap.Float64("per_second", cmd.Rate),
		zap.String("from", cmd.From), zap.Int64("age_ms", int64(cmd.Age)), zap.Int("unlogged", d.unloggedLimits))
	d.unloggedLimits = 0
}

// logCapacityWait logs that a request begins to wait for capacity.
func (d *decider) logCapacityWait(cmd dispatch.CapacityWaitCmd) {
	d.log.Info("awaits_capacity", zap.String("id", cmd.CallerID), zap.String("service", cmd.Service), zap.String("reason", string(cmd.Reason)),
		zap.Int("priority", cmd.Priority), zap.Bool("returned", cmd.Returned), zap.Int("waiting", cmd.Waiting),
		zap.Int64("for_ms", int64(cmd.Until.Sub(d.clock.Now()))), overShareField(cmd.OverShare))
}

// logCapacityWaitEnd logs the outcome of a wait for capacity. The session of a request whose
// caller has left has ended, so the line is written here.
func (d *decider) logCapacityWaitEnd(cmd dispatch.CapacityWaitEndCmd) {
	d.log.Info("awaited_capacity", zap.String("id", cmd.CallerID), zap.String("service", cmd.Service), zap.String("reason", string(cmd.Reason)),
		zap.String("outcome", string(cmd.Outcome)), zap.Int64("waited_ms", int64(cmd.Waited)))
}

func (d *decider) deliver(id dispatch.RequestID, cmd dispatch.Cmd) {
	if box := d.mailboxes[id]; box != nil && !box.put(cmd) {
		d.log.Error("mailbox_full", zap.Uint64("request", uint64(id)), zap.String("command", fmt.Sprintf("%T", cmd)))
	}
}
