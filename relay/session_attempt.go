package relay

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// maxConnectionSilence is the time in ms without a byte from an upstream after which its idle
// connections are closed. First events arrive within 130 ms for 99 in 100 requests, answers of
// plain upstreams within 350 ms (docs/MEASUREMENTS.md).
const maxConnectionSilence clock.Millis = 300

// startAttempt sends the request to the upstream, or passes it on to the node, that the decider has
// chosen.
func (s *session) startAttempt(cmd dispatch.SendCmd) {
	now := s.relay.clock.Now()
	remaining := min(cmd.ClientDeadline, cmd.RouteDeadline).Sub(now)
	s.attempts++
	s.route = cmd.Route
	s.attemptBegun = false
	if s.events == 0 {
		s.predictedFirstEvent = cmd.PredictedFirstEvent
	}
	if s.attempts == 1 {
		s.deadlineTimer.Reset(max(remaining, 1).Duration())
	}
	if cmd.AttemptTimeout > 0 && cmd.AttemptTimeout < remaining {
		s.attemptTimer.Reset(cmd.AttemptTimeout.Duration())
	}
	if cmd.FirstEventLimit > 0 {
		s.firstEventTimer.Reset(cmd.FirstEventLimit.Duration())
	}
	s.silenceTimer.Reset(maxConnectionSilence.Duration())
	ctx, cancel := context.WithCancelCause(s.request.Context())
	var a *attempt
	var err error
	if cmd.Node != "" {
		s.logForward(cmd, remaining)
		a, err = s.newForward(ctx, cmd, remaining)
	} else {
		s.logSend(cmd, remaining)
		a = s.newSend(ctx, cmd, remaining)
	}
	a.cancel = cancel
	s.attempt, s.sentAt, s.lastUpdateAt, s.quietSince = a, now, now, now
	if err != nil {
		s.failAttempt(dispatch.CauseNotSent, UpstreamStatus{}, err)
		return
	}
	s.resetFirstStallTimer()
	go a.run(ctx)
}

// resetFirstStallTimer starts the timer for the first check of a stream that has no event yet.
func (s *session) resetFirstStallTimer() {
	switch {
	case len(s.attempt.cmd.Chain) > 0:
		s.stallTimer.Reset(firstEventStall.Duration())
	case s.watchesForward():
		s.stallTimer.Reset(abandonAfter.Duration())
	}
}

// newAttempt returns an attempt over the given connections. Its request is not set yet.
func (s *session) newAttempt(cmd dispatch.SendCmd, conns *upstreamConns) *attempt {
	a := &attempt{
		protocol: s.relay.protocol, conns: conns, handleStatus: s.relay.HandleUpstreamStatus, handleNoLimit: s.relay.handleNoLimit,
		startedAt: s.relay.clock.Now(), handlePresence: s.relay.handlePresence, gate: s.relay.gate, cmd: cmd,
		callerID: s.head.ID, key: s.head.Key, resuming: s.answer.started(), updates: make(chan attemptUpdate, maxQueuedUpdates),
		checkEnd: s.checkEnd, contain: s.relay.contain,
	}
	a.chain.Store(&cmd.Chain)
	return a
}

// newSend returns an attempt that sends the request to an upstream.
func (s *session) newSend(ctx context.Context, cmd dispatch.SendCmd, remaining clock.Millis) *attempt {
	conns := s.relay.upstreams.get(cmd.Upstream)
	a := s.newAttempt(cmd, conns)
	a.blocked, a.ownConnection = func() bool { return s.relay.upstreams.blocked(conns) }, s.needsOwnConnection(cmd.Upstream)
	a.req = outgoing(ctx, s.request, cmd.Address, s.body)
	s.relay.protocol.SetAttempt(a.req.Header, AttemptHead{
		Upstream: cmd.Upstream, Account: cmd.Account, Priority: cmd.Priority, Remaining: remaining, Chain: cmd.Chain, LastEventID: s.lastEventID,
	})
	return a
}

// recheckDeadline resets the timers after a suspension of the VM, during which they do not
// advance. The stream may have stalled meanwhile, and its idle connections may be dead.
func (s *session) recheckDeadline(cmd dispatch.RecheckDeadlineCmd) {
	s.deadlineTimer.Reset(max(cmd.Deadline.Sub(s.relay.clock.Now()), 0).Duration())
	if s.attempt == nil {
		return
	}
	s.closeSilentConnections()
	if len(s.attempt.cmd.Chain) > 0 || s.watchesForward() {
		s.stallTimer.Reset(0)
	}
}

// needsOwnConnection reports whether the next attempt uses a new connection instead of a pooled
// one. A new one is needed after an attempt without an answer: all pooled connections may have
// stopped carrying data, and the caller's deadline does not allow trying them one after
// another. A new one is also needed if the request was sent to this upstream before: on the
// same connection, a late second answer to the earlier attempt would be read as the answer to
// this one.
func (s *session) needsOwnConnection(upstream fleet.Incarnation) bool {
	sentBefore := s.sentTo[upstream]
	s.sentTo[upstream] = true
	return s.unanswered || sentBefore
}

// failAttempt ends the attempt and reports the failure to the decider.
func (s *session) failAttempt(cause dispatch.Cause, status UpstreamStatus, err error) {
	s.endFailedAttempt(dispatch.AttemptFailedMsg{Cause: cause}, status, err)
}

// endFailedAttempt ends the attempt and reports the failure, completed with the state of the
// request, to the decider.
func (s *session) endFailedAttempt(msg dispatch.AttemptFailedMsg, status UpstreamStatus, err error) {
	s.logFailure(msg.Cause, msg.FaultyAddress, status, err)
	s.mayHaveExecuted = s.mayHaveExecuted || msg.Cause.MayHaveExecuted()
	msg.Request, msg.Attempt = s.id, s.attempt.cmd.Attempt
	msg.Events, msg.Delivered, msg.LastEventAt = s.events, s.delivered(), s.lastEventAt
	s.cancelAttempt()
	s.relay.decider.notify(s.relay.lifetime, msg)
}

// abandon gives up an attempt that makes no progress. A partial answer that no other upstream
// may resume is kept, since it may still continue, whereas abandoning it would truncate it for
// certain. The finding is provisional if the upstream at fault may still answer.
func (s *session) abandon(faultyAddress, reason string, provisional bool) {
	if s.attempt == nil || s.answer.started() && (s.attempt.cmd.LastUpstream || s.delivered() == dispatch.DeliveredPartial) {
		return
	}
	s.unanswered = true
	s.closeSilentConnections()
	msg := dispatch.AttemptFailedMsg{Cause: dispatch.CauseNoProgress, FaultyAddress: faultyAddress, Provisional: provisional}
	s.endFailedAttempt(msg, UpstreamStatus{}, errors.Wrap(errAttemptAbandoned, reason))
}

// closeSilentConnections closes the idle connections to the upstream of the current attempt if
// none of them has received data since the attempt's last update.
func (s *session) closeSilentConnections() {
	if s.attempt != nil {
		s.attempt.conns.closeIdleIfSilent(s.lastUpdateAt)
	}
}

// attemptAddress returns the address of the current attempt's upstream; empty if there is no
// attempt.
func (s *session) attemptAddress() string {
	if s.attempt == nil {
		return ""
	}
	return s.attempt.cmd.Address
}

// cancelAttempt cancels the current attempt, which closes its connection.
func (s *session) cancelAttempt() {
	if s.attempt == nil {
		return
	}
	s.attempt.cancel(context.Canceled)
	s.attempt = nil
	s.attemptTimer.Stop()
	s.silenceTimer.Stop()
	s.stallTimer.Stop()
	s.firstEventTimer.Stop()
	s.suspectedAddress = ""
}
