package relay

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/ring"
)

const (
	// maxQueuedMessages bounds the messages that wait for a decision. A node
	// that is this far behind refuses new requests.
	maxQueuedMessages = 4096
	// mailboxSize bounds the commands that wait for a session: its one answer
	// and the moves of its stream.
	mailboxSize = 8
	// tickInterval is how often the model is told the time. Probes of suspected
	// upstreams hang on it.
	tickInterval = 100 * time.Millisecond
	// limitLogInterval bounds the lines on one upstream's limit.
	limitLogInterval clock.Millis = 1000
)

// envelope is a message together with where commands for its request go.
type envelope struct {
	msg      dispatch.Msg
	commands chan dispatch.Cmd
}

// decider is the one goroutine that decides.
type decider struct {
	model    *dispatch.Model
	clock    *clock.Clock
	log      *zap.Logger
	inbox    *ring.Ring[envelope]
	commands map[dispatch.RequestID]chan dispatch.Cmd
	probe    func(dispatch.ProbeCmd)
	// identify asks who is at an address.
	identify func(dispatch.IdentifyCmd)
	// onResponsiveness tells the planner of layers of engines that do not answer.
	onResponsiveness func(dispatch.ResponsivenessCmd)
	// shareUsage tells other nodes what this one has in use, and what all do that
	// tell each other.
	shareUsage func(dispatch.ShareUsageCmd)
	// requestPermits sends other nodes questions for permits, and give answers theirs.
	requestPermits func(limit.PermitRequestCmd)
	grantPermits   func(to string, grant limit.Grant)
	// onLimitChanged is told of upstreams whose limit has begun, changed or ended.
	onLimitChanged func(upstream fleet.Incarnation, limited bool)
	// onQuarantine is told of requests that end upstreams.
	onQuarantine func(quarantine.Event)
	ready        atomic.Bool
	// limitLoggedAt is when an upstream's limit was logged last, and unloggedLimits counts the
	// changes since.
	limitLoggedAt  map[fleet.Incarnation]clock.Millis
	unloggedLimits int
	// limits are those that hold, as of the last tick.
	limits atomic.Pointer[[]limit.Summary]
}

func newDecider(model *dispatch.Model, c *clock.Clock, log *zap.Logger, probe func(dispatch.ProbeCmd), identify func(dispatch.IdentifyCmd)) *decider {
	return &decider{
		model: model, clock: c, log: log, probe: probe, identify: identify, onResponsiveness: func(dispatch.ResponsivenessCmd) {},
		shareUsage:     func(dispatch.ShareUsageCmd) {},
		requestPermits: func(limit.PermitRequestCmd) {},
		grantPermits:   func(string, limit.Grant) {},
		onLimitChanged: func(fleet.Incarnation, bool) {},
		onQuarantine:   func(quarantine.Event) {},
		inbox:          ring.New[envelope](maxQueuedMessages), commands: make(map[dispatch.RequestID]chan dispatch.Cmd),
		limitLoggedAt: make(map[fleet.Incarnation]clock.Millis),
	}
}

// offerArrival hands over a new request, or reports that the node is too far behind.
func (d *decider) offerArrival(msg dispatch.ArriveMsg, mail chan dispatch.Cmd) bool {
	return d.inbox.Offer(envelope{msg: msg, commands: mail})
}

// notify hands over what has happened, and waits for room until the context ends.
func (d *decider) notify(ctx context.Context, msg dispatch.Msg) {
	d.inbox.Put(envelope{msg: msg}, ctx.Done())
}

// run decides until the context ends.
func (d *decider) run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-d.inbox.Items():
			d.decide(e)
		case <-tick.C:
			d.decide(envelope{msg: dispatch.TickMsg{}})
			d.ready.Store(d.model.Ready(d.clock.Now()))
			limits := d.model.Limits(d.clock.Now())
			d.limits.Store(&limits)
		}
	}
}

func (d *decider) decide(e envelope) {
	if arrival, ok := e.msg.(dispatch.ArriveMsg); ok {
		d.commands[arrival.Request] = e.commands
	}
	for _, cmd := range d.model.Update(d.clock.Now(), e.msg) {
		d.execute(cmd)
	}
	if gone, ok := e.msg.(dispatch.RequestEndedMsg); ok {
		delete(d.commands, gone.Request)
	}
}

// execute passes a command to whom it concerns.
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
	case dispatch.MigrateCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.RecheckAttemptCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.RecheckDeadlineCmd:
		d.deliver(cmd.Request, cmd)
	case dispatch.ShareUsageCmd:
		d.shareUsage(cmd)
	case dispatch.ResponsivenessCmd:
		d.onResponsiveness(cmd)
	case dispatch.ProbeCmd:
		d.probe(cmd)
	case dispatch.IdentifyCmd:
		d.identify(cmd)
	case dispatch.QuarantineCmd:
		d.onQuarantine(cmd.News)
	case dispatch.RequestPermitsCmd:
		d.requestPermits(cmd.PermitRequestCmd)
	case dispatch.GrantPermitsCmd:
		d.grantPermits(cmd.To, cmd.Grant)
	case dispatch.LimitChangedCmd:
		d.onLimitChanged(cmd.Upstream, cmd.Rate > 0)
		d.logLimit(cmd)
	case dispatch.BackOffCmd:
		d.log.Info("rest", zap.Stringer("upstream", cmd.Upstream), zap.Int64("asked_ms", int64(cmd.Requested)),
			zap.Int64("for_ms", int64(cmd.Until.Sub(d.clock.Now()))))
	case dispatch.SuspectCmd:
		d.log.Info("suspect", zap.Stringer("upstream", cmd.Upstream), zap.Int("strikes", cmd.Failures),
			zap.Stringer("cause", cmd.Cause), zap.Int64("for_ms", int64(cmd.Until.Sub(d.clock.Now()))))
	}
}

// logLimit tells of a limit that has begun, changed or ended. An upstream that names another
// in each answer has a line a second.
func (d *decider) logLimit(cmd dispatch.LimitChangedCmd) {
	now := d.clock.Now()
	if last, known := d.limitLoggedAt[cmd.Upstream]; known && now < last.Add(limitLogInterval) && cmd.Rate > 0 {
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

func (d *decider) deliver(id dispatch.RequestID, cmd dispatch.Cmd) {
	mail, ok := d.commands[id]
	if !ok {
		return
	}
	select {
	case mail <- cmd:
	default:
		d.log.Error("mailbox_full", zap.Uint64("request", uint64(id)))
	}
}
