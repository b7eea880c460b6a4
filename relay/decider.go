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
	// decisionsWaiting bounds the messages that wait for a decision. A node
	// that is this far behind refuses new requests.
	decisionsWaiting = 4096
	// mailboxSize bounds the commands that wait for a session: its one answer
	// and the moves of its stream.
	mailboxSize = 8
	// tickEvery is how often the model is told the time. Probes of suspected
	// upstreams hang on it.
	tickEvery = 100 * time.Millisecond
	// limitLoggedEvery bounds the lines on one upstream's limit.
	limitLoggedEvery clock.Millis = 1000
)

// envelope is a message together with where commands for its request go.
type envelope struct {
	msg  dispatch.Msg
	mail chan dispatch.Cmd
}

// decider is the one goroutine that decides.
type decider struct {
	model *dispatch.Model
	clock *clock.Clock
	log   *zap.Logger
	inbox *ring.Ring[envelope]
	mail  map[dispatch.RequestID]chan dispatch.Cmd
	probe func(dispatch.ProbeCmd)
	// identify asks who is at an address.
	identify func(dispatch.IdentifyCmd)
	// silent tells the planner of layers of engines that do not answer.
	silent func(dispatch.ResponsivenessCmd)
	// share tells other nodes what this one has in use, and what all do that
	// tell each other.
	share func(dispatch.ShareUsageCmd)
	// ask sends other nodes questions for permits, and give answers theirs.
	ask  func(limit.AskCmd)
	give func(to string, grant limit.Grant)
	// limited is told of upstreams whose limit has begun, changed or ended.
	limited func(upstream fleet.Incarnation, limited bool)
	// quarantine is told of requests that end upstreams.
	quarantine func(quarantine.News)
	ready      atomic.Bool
	// limitLogged is when an upstream's limit was logged last, and limitsUnlogged counts the
	// changes since.
	limitLogged    map[fleet.Incarnation]clock.Millis
	limitsUnlogged int
	// limits are those that hold, as of the last tick.
	limits atomic.Pointer[[]limit.Summary]
}

func newDecider(model *dispatch.Model, c *clock.Clock, log *zap.Logger, probe func(dispatch.ProbeCmd), identify func(dispatch.IdentifyCmd)) *decider {
	return &decider{
		model: model, clock: c, log: log, probe: probe, identify: identify, silent: func(dispatch.ResponsivenessCmd) {},
		share:      func(dispatch.ShareUsageCmd) {},
		ask:        func(limit.AskCmd) {},
		give:       func(string, limit.Grant) {},
		limited:    func(fleet.Incarnation, bool) {},
		quarantine: func(quarantine.News) {},
		inbox:      ring.New[envelope](decisionsWaiting), mail: make(map[dispatch.RequestID]chan dispatch.Cmd),
		limitLogged: make(map[fleet.Incarnation]clock.Millis),
	}
}

// arrive hands over a new request, or reports that the node is too far behind.
func (d *decider) arrive(msg dispatch.ArriveMsg, mail chan dispatch.Cmd) bool {
	return d.inbox.Offer(envelope{msg: msg, mail: mail})
}

// tell hands over what has happened, and waits for room until the context ends.
func (d *decider) tell(ctx context.Context, msg dispatch.Msg) {
	d.inbox.Put(envelope{msg: msg}, ctx.Done())
}

// run decides until the context ends.
func (d *decider) run(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
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
		d.mail[arrival.Request] = e.mail
	}
	for _, cmd := range d.model.Update(d.clock.Now(), e.msg) {
		d.carry(cmd)
	}
	if gone, ok := e.msg.(dispatch.RequestEndedMsg); ok {
		delete(d.mail, gone.Request)
	}
}

// carry passes a command to whom it concerns.
func (d *decider) carry(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		d.post(cmd.Request, cmd)
	case dispatch.SlotWaitCmd:
		d.post(cmd.Request, cmd)
	case dispatch.RespondCmd:
		d.post(cmd.Request, cmd)
	case dispatch.RelayFailureCmd:
		d.post(cmd.Request, cmd)
	case dispatch.AbortResponseCmd:
		d.post(cmd.Request, cmd)
	case dispatch.MigrateCmd:
		d.post(cmd.Request, cmd)
	case dispatch.RecheckAttemptCmd:
		d.post(cmd.Request, cmd)
	case dispatch.RecheckDeadlineCmd:
		d.post(cmd.Request, cmd)
	case dispatch.ShareUsageCmd:
		d.share(cmd)
	case dispatch.ResponsivenessCmd:
		d.silent(cmd)
	case dispatch.ProbeCmd:
		d.probe(cmd)
	case dispatch.IdentifyCmd:
		d.identify(cmd)
	case dispatch.QuarantineCmd:
		d.quarantine(cmd.News)
	case dispatch.RequestPermitsCmd:
		d.ask(cmd.AskCmd)
	case dispatch.GrantPermitsCmd:
		d.give(cmd.To, cmd.Grant)
	case dispatch.LimitChangedCmd:
		d.limited(cmd.Upstream, cmd.Rate > 0)
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
	if last, known := d.limitLogged[cmd.Upstream]; known && now < last.Add(limitLoggedEvery) && cmd.Rate > 0 {
		d.limitsUnlogged++
		return
	}
	d.limitLogged[cmd.Upstream] = now
	if cmd.Rate == 0 {
		delete(d.limitLogged, cmd.Upstream)
	}
	d.log.Info("limit", zap.Stringer("upstream", cmd.Upstream), zap.Float64("per_second", cmd.Rate),
		zap.String("from", cmd.From), zap.Int64("age_ms", int64(cmd.Age)), zap.Int("unlogged", d.limitsUnlogged))
	d.limitsUnlogged = 0
}

func (d *decider) post(id dispatch.RequestID, cmd dispatch.Cmd) {
	mail, ok := d.mail[id]
	if !ok {
		return
	}
	select {
	case mail <- cmd:
	default:
		d.log.Error("mailbox_full", zap.Uint64("request", uint64(id)))
	}
}
