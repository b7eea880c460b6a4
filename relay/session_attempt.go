package relay

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// maxConnectionSilence is after how long without a byte of an upstream its kept connections are
// doubted. First events come within 130 ms for 99 in 100, answers of plain upstreams
// within 350 (docs/MEASUREMENTS.md).
const maxConnectionSilence clock.Millis = 300

// startAttempt begins an attempt.
func (s *session) startAttempt(cmd dispatch.SendCmd) {
	now := s.relay.clock.Now()
	remaining := min(cmd.ClientDeadline, cmd.RouteDeadline).Sub(now)
	s.attempts++
	s.route = cmd.Route
	s.logSend(cmd, remaining)
	if s.attempts == 1 {
		s.deadlineTimer.Reset(max(remaining, 1).Duration())
	}
	if cmd.AttemptTimeout > 0 && cmd.AttemptTimeout < remaining {
		s.attemptTimer.Reset(cmd.AttemptTimeout.Duration())
	}
	s.silenceTimer.Reset(maxConnectionSilence.Duration())
	conns := s.relay.upstreams.get(cmd.Upstream)
	ctx, cancel := context.WithCancelCause(s.request.Context())
	a := &attempt{
		protocol: s.relay.protocol, conns: conns, blocked: func() bool { return s.relay.upstreams.blocked(conns) }, handleStatus: s.relay.HandleUpstreamStatus, handleNoLimit: s.relay.handleNoLimit, startedAt: now, handlePresence: s.relay.handlePresence, ownConnection: s.needsOwnConnection(cmd.Upstream), gate: s.relay.gate, cmd: cmd,
		callerID: s.head.ID, resuming: s.answer.started(), updates: make(chan attemptUpdate, maxQueuedUpdates), cancel: cancel,
	}
	a.req = outgoing(ctx, s.request, cmd.Address, s.body)
	s.relay.protocol.SetAttempt(a.req.Header, AttemptHead{
		Upstream: cmd.Upstream, Account: cmd.Account, Priority: cmd.Priority, Remaining: remaining, Chain: cmd.Chain, LastEventID: s.lastEventID,
	})
	s.attempt, s.sentAt, s.lastUpdateAt, s.quietSince = a, now, now, now
	if len(cmd.Chain) > 0 {
		s.stallTimer.Reset(firstEventStall.Duration())
	}
	go a.run(ctx)
}

// recheckDeadline sets the timers anew after a suspension of the VM, for which they have stood still.
// A stream may have stood still too, and its kept connections may be dead.
func (s *session) recheckDeadline(cmd dispatch.RecheckDeadlineCmd) {
	s.deadlineTimer.Reset(max(cmd.Deadline.Sub(s.relay.clock.Now()), 0).Duration())
	if s.attempt == nil {
		return
	}
	s.closeSilentConnections()
	if len(s.attempt.cmd.Chain) > 0 {
		s.stallTimer.Reset(0)
	}
}

// needsOwnConnection tells whether the next attempt goes out on a connection of its own.
// It does where one has brought nothing: kept ones may all have gone silent, and the
// caller's time does not last for one after the other. And it does where the upstream
// has been asked before: it may answer once more, late, and on the same connection that
// would be taken for the answer to this attempt.
func (s *session) needsOwnConnection(upstream fleet.Incarnation) bool {
	again := s.sentTo[upstream]
	s.sentTo[upstream] = true
	return s.unanswered || again
}

// failAttempt ends the attempt and asks what comes next.
func (s *session) failAttempt(cause dispatch.Cause, at string, word UpstreamStatus, err error) {
	s.logFailure(cause, at, word, err)
	msg := dispatch.AttemptFailedMsg{Request: s.id, Attempt: s.attempt.cmd.Attempt, Cause: cause, FaultyAddress: at, Events: s.events, Delivered: s.delivered()}
	s.cancelAttempt()
	s.relay.decider.notify(s.relay.lifetime, msg)
}

// abandon takes an attempt back for want of an answer. An answer that has begun and
// that no further upstream may go on with is left as it is: it may still go on, and
// taking it back would cut it for sure.
func (s *session) abandon(at, why string) {
	if s.attempt == nil || s.answer.started() && (s.attempt.cmd.LastUpstream || s.delivered() == dispatch.DeliveredPartial) {
		return
	}
	s.unanswered = true
	s.closeSilentConnections()
	s.failAttempt(dispatch.CauseNoProgress, at, UpstreamStatus{}, errors.Wrap(errAttemptAbandoned, why))
}

// closeSilentConnections keeps other requests off the connections that are kept from before
// the last piece of the attempt under way, if its upstream has brought nothing since.
func (s *session) closeSilentConnections() {
	if s.attempt != nil {
		s.attempt.conns.closeIdleIfSilent(s.lastUpdateAt)
	}
}

// attemptAddress is where the attempt under way was sent.
func (s *session) attemptAddress() string {
	if s.attempt == nil {
		return ""
	}
	return s.attempt.cmd.Address
}

// cancelAttempt cancels the attempt under way, which closes its connection.
func (s *session) cancelAttempt() {
	if s.attempt == nil {
		return
	}
	s.attempt.cancel(context.Canceled)
	s.attempt = nil
	s.attemptTimer.Stop()
	s.silenceTimer.Stop()
	s.stallTimer.Stop()
}
