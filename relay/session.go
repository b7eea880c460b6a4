package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// session is the life of one request of a caller.
type session struct {
	relay *Relay
	id    dispatch.RequestID
	head  CallerHead
	body  []byte
	w     *answerWriter
	r     *http.Request
	mail  chan dispatch.Cmd
	log   *zap.Logger
	began clock.Millis

	// The attempt under way; nil between attempts.
	attempt *attempt
	sent    clock.Millis
	// held is the upstream's own failure, kept for a RelayCmd.
	held *piece
	// lastEvent is the id of the last event that the caller has.
	lastEvent  string
	lastNumber int64
	hasNumber  bool
	events     int
	lastPiece  clock.Millis
	attempts   int
	moved      int
	// first is the age at which the caller had the first event, and pause the
	// longest time between two events so far.
	first clock.Millis
	pause clock.Millis
	// lastEventAt is when the last event was passed on.
	lastEventAt clock.Millis
	// route is that of the last attempt; nil before the first.
	route *catalog.Route

	giveUp *time.Timer
	try    *time.Timer
	stall  *time.Timer
	asked  chan stallAnswer
	moves  chan dispatch.MovedMsg
	asking bool
	rhythm rhythm
	// asks counts the questions since the last event.
	asks int
}

// stopped returns a timer that does not run.
func stopped() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// run lives the request from its arrival to its end.
func (s *session) run() {
	s.giveUp, s.try, s.stall = stopped(), stopped(), stopped()
	s.asked, s.moves = make(chan stallAnswer, 1), make(chan dispatch.MovedMsg, mailboxSize)
	defer s.end()
	if !s.relay.decider.arrive(s.arrival(), s.mail) {
		s.answer(http.StatusServiceUnavailable, dispatch.ReasonNoRoom, overloadBack)
		return
	}
	for {
		if done := s.await(); done {
			return
		}
	}
}

// overloadBack is when to come back to a node that cannot keep up, in ms.
const overloadBack clock.Millis = 500

func (s *session) arrival() dispatch.ArriveMsg {
	return dispatch.ArriveMsg{
		Request: s.id, CallerID: s.head.ID, Host: hostName(s.r.Host), Path: s.r.URL.Path,
		Key: s.head.Key, HasKey: s.head.HasKey, Remaining: s.head.Remaining,
		PromptTokens: s.head.PromptTokens, AnswerTokens: s.head.AnswerTokens, HintTokens: s.head.HintTokens,
	}
}

// await waits for what happens next, and reports whether the request is over.
func (s *session) await() bool {
	var pieces chan piece
	if s.attempt != nil {
		pieces = s.attempt.pieces
	}
	select {
	case cmd := <-s.mail:
		return s.obey(cmd)
	case p := <-pieces:
		return s.take(p)
	case <-s.giveUp.C:
		return s.timeUp()
	case <-s.try.C:
		s.abandon(s.firstAddress(), "attempt_time_is_up")
	case <-s.stall.C:
		s.checkStall()
	case answer := <-s.asked:
		s.stallAnswered(answer)
	case msg := <-s.moves:
		s.moveEnded(msg)
	case <-s.r.Context().Done():
		s.logLeft()
		return true
	}
	return false
}

func (s *session) age() clock.Millis { return s.relay.clock.Now().Sub(s.began) }

// obey does what the decider says, and reports whether the request is over.
func (s *session) obey(cmd dispatch.Cmd) bool {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		s.send(cmd)
	case dispatch.FinishCmd:
		s.logFinish(cmd)
		s.answer(cmd.Status, cmd.Reason, cmd.RetryAfter)
		return true
	case dispatch.RelayCmd:
		return s.relayHeld()
	case dispatch.CutCmd:
		s.cut(cmd.Reason)
	case dispatch.MoveCmd:
		s.move(cmd)
	case dispatch.ReconsiderCmd:
		s.reconsider(cmd)
	}
	return false
}

// relayHeld passes on the failure that an upstream has answered with.
func (s *session) relayHeld() bool {
	if s.held == nil {
		s.answer(http.StatusBadGateway, dispatch.ReasonUnknown, 0)
		return true
	}
	s.logAnswer(s.held.head.StatusCode)
	if err := s.w.whole(s.held.head, s.held.data); err != nil {
		s.logLost(err)
	}
	return true
}

// send begins an attempt.
func (s *session) send(cmd dispatch.SendCmd) {
	now := s.relay.clock.Now()
	remaining := min(cmd.Deadline, cmd.GiveUp).Sub(now)
	s.attempts++
	s.route = cmd.Route
	s.logSend(cmd, remaining)
	if s.attempts == 1 {
		s.giveUp.Reset(max(remaining, 1).Duration())
	}
	if cmd.TryFor > 0 && cmd.TryFor < remaining {
		s.try.Reset(cmd.TryFor.Duration())
	}
	ctx, cancel := context.WithCancelCause(s.r.Context())
	a := &attempt{
		protocol: s.relay.protocol, transport: s.relay.upstreams.get(cmd.Upstream), gate: s.relay.gate, cmd: cmd,
		callerID: s.head.ID, pieces: make(chan piece, piecesWaiting), cancel: cancel,
	}
	a.req = outgoing(ctx, s.r, cmd.Address, s.body)
	s.relay.protocol.SetAttempt(a.req.Header, AttemptHead{
		Upstream: cmd.Upstream, Account: cmd.Account, Priority: cmd.Priority, Remaining: remaining, Chain: cmd.Chain, LastEvent: s.lastEvent,
	})
	s.attempt, s.sent, s.lastPiece = a, now, now
	if len(cmd.Chain) > 0 {
		s.stall.Reset(firstStall.Duration())
	}
	go a.run(ctx)
}

// take deals with what the attempt brings, and reports whether the request is
// over.
func (s *session) take(p piece) bool {
	s.lastPiece = s.relay.clock.Now()
	switch {
	case p.failed:
		s.attemptFailed(p.cause, p.at, p.err)
		return false
	case p.head != nil && p.head.StatusCode >= http.StatusInternalServerError && p.end:
		return s.upstreamFailed(p)
	}
	if err := s.pass(p); err != nil {
		s.logLost(err)
		return true
	}
	if p.end {
		s.done(p)
		return true
	}
	if len(p.event.raw) > 0 {
		s.rhythm.note(s.lastPiece)
	}
	s.armStall()
	return false
}

// upstreamFailed keeps a failure that the upstream answered with, and asks
// whether another may try.
func (s *session) upstreamFailed(p piece) bool {
	s.held = &p
	s.attemptFailed(dispatch.Failed, "", nil)
	return false
}

// pass writes a piece to the caller.
func (s *session) pass(p piece) error {
	if p.head != nil && s.events == 0 {
		if p.end && len(p.event.raw) == 0 {
			return s.w.whole(p.head, p.data)
		}
		if err := s.w.begin(p.head); err != nil {
			return err
		}
	}
	if len(p.event.raw) == 0 {
		return s.w.piece(p.data)
	}
	return s.passEvent(p.event)
}

// passEvent writes an event, once: a resumed stream may begin with what the
// caller has already.
func (s *session) passEvent(ev event) error {
	if ev.hasID && s.hasNumber {
		if ev.number <= s.lastNumber {
			return nil
		}
	}
	if err := s.w.piece(ev.raw); err != nil {
		return err
	}
	s.noteEvent()
	if ev.hasID {
		s.lastEvent, s.lastNumber, s.hasNumber = ev.id, ev.number, true
	}
	return nil
}

// noteEvent takes in that the caller has one more event.
func (s *session) noteEvent() {
	now := s.relay.clock.Now()
	s.events++
	if s.events == 1 {
		s.first = s.age()
		s.relay.stats.first(s.first)
	} else {
		s.pause = max(s.pause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// done ends a request whose answer is out.
func (s *session) done(p piece) {
	status := http.StatusOK
	if p.head != nil {
		status = p.head.StatusCode
	}
	s.relay.decider.tell(s.relay.life, dispatch.AttemptDoneMsg{
		Request: s.id, Attempt: s.attempt.cmd.Attempt, Took: s.relay.clock.Now().Sub(s.sent),
		Failed: status >= http.StatusInternalServerError,
	})
	s.logAnswer(status)
}

// attemptFailed ends the attempt and asks what comes next.
func (s *session) attemptFailed(cause dispatch.Cause, at string, err error) {
	s.logFailure(cause, at, err)
	msg := dispatch.AttemptFailedMsg{Request: s.id, Attempt: s.attempt.cmd.Attempt, Cause: cause, At: at, Events: s.events}
	s.drop()
	s.relay.decider.tell(s.relay.life, msg)
}

// abandon takes an attempt back for want of an answer. A stream that has begun
// and that no further upstream may run is left as it is: it may still go on, and
// taking it back would cut it for sure.
func (s *session) abandon(at, why string) {
	if s.attempt == nil || s.events > 0 && s.attempt.cmd.Last {
		return
	}
	s.attemptFailed(dispatch.Slow, at, errors.Wrap(errTakenBack, why))
}

// firstAddress is where the attempt under way was sent.
func (s *session) firstAddress() string {
	if s.attempt == nil {
		return ""
	}
	return s.attempt.cmd.Address
}

// drop cancels the attempt under way, which closes its connection.
func (s *session) drop() {
	if s.attempt == nil {
		return
	}
	s.attempt.cancel(context.Canceled)
	s.attempt = nil
	s.try.Stop()
	s.stall.Stop()
}
