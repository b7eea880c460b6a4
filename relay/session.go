package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
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
	// inVain tells that an attempt was taken back for want of an answer.
	inVain bool
	// sentTo are the incarnations of upstreams to which the request was sent.
	sentTo map[fleet.Incarnation]bool
	// held is the upstream's own failure, kept for a RelayCmd.
	held *piece
	// lastEvent is the id of the last event that the caller has.
	lastEvent  string
	lastNumber int64
	hasNumber  bool
	// unnamed tells that the caller has an event after it that has no id.
	unnamed   bool
	events    int
	lastPiece clock.Millis
	// since is from when on a stream that stands still counts as doing so: its last
	// piece, or a move after which the new engines read all tokens first.
	since    clock.Millis
	attempts int
	moved    int
	// explained tells that the log says why the answer has not ended.
	explained bool
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
	doubt  *time.Timer
	stall  *time.Timer
	asked  chan stallAnswer
	moves  chan dispatch.MigratedMsg
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
	s.giveUp, s.try, s.doubt, s.stall = stopped(), stopped(), stopped(), stopped()
	s.asked, s.moves = make(chan stallAnswer, 1), make(chan dispatch.MigratedMsg, mailboxSize)
	defer s.end()
	if !s.relay.decider.arrive(s.arrival(), s.mail) {
		s.answer(http.StatusServiceUnavailable, dispatch.ReasonNoMemory, overloadBack)
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
		Request: s.id, CallerID: s.head.ID, Work: work.FromRequest(s.r, s.body), Host: hostName(s.r.Host), Path: s.r.URL.Path,
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
	case <-s.doubt.C:
		s.doubtConnections()
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
	case dispatch.SlotWaitCmd:
		s.logAwait(cmd)
	case dispatch.RespondCmd:
		s.logFinish(cmd)
		s.answer(cmd.Status, cmd.Reason, cmd.RetryAfter)
		return true
	case dispatch.RelayFailureCmd:
		return s.relayHeld()
	case dispatch.AbortResponseCmd:
		s.cut(cmd.Reason)
		return true
	case dispatch.MigrateCmd:
		s.move(cmd)
	case dispatch.RecheckAttemptCmd:
		s.reconsider(cmd)
	case dispatch.RecheckDeadlineCmd:
		s.wake(cmd)
	}
	return false
}

// relayHeld passes on the failure that an upstream has answered with.
func (s *session) relayHeld() bool {
	if s.held == nil {
		s.answer(http.StatusBadGateway, dispatch.ReasonAnswerLost, 0)
		return true
	}
	if err := s.w.whole(s.held.head, s.held.data); err != nil {
		s.logLost(err)
		return true
	}
	s.logAnswer(s.held.head.StatusCode)
	return true
}

// delivered says what the caller has of its answer. Nothing can go on after an event
// without a number: another attempt would bring it again.
func (s *session) delivered() dispatch.Delivered {
	switch {
	case !s.w.begun():
		return dispatch.DeliveredNothing
	case s.events > 0 && !s.unnamed:
		return dispatch.DeliveredEvents
	default:
		return dispatch.DeliveredPartial
	}
}
