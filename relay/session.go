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
	relay     *Relay
	id        dispatch.RequestID
	head      CallerHead
	body      []byte
	answer    *answerWriter
	request   *http.Request
	commands  chan dispatch.Cmd
	log       *zap.Logger
	startedAt clock.Millis

	// The attempt under way; nil between attempts.
	attempt *attempt
	sentAt  clock.Millis
	// unanswered tells that an attempt was taken back for want of an answer.
	unanswered bool
	// sentTo are the incarnations of upstreams to which the request was sent.
	sentTo map[fleet.Incarnation]bool
	// upstreamFailure is the upstream's own failure, kept for a RelayCmd.
	upstreamFailure *attemptUpdate
	// lastEventID is the id of the last event that the caller has.
	lastEventID     string
	lastEventNumber int64
	hasEventNumber  bool
	// eventWithoutID tells that the caller has an event after it that has no id.
	eventWithoutID bool
	events         int
	lastUpdateAt   clock.Millis
	// quietSince is from when on a stream that stands still counts as doing so: its last
	// piece, or a move after which the new engines read all tokens first.
	quietSince clock.Millis
	attempts   int
	migrations int
	// outcomeLogged tells that the log says why the answer has not ended.
	outcomeLogged bool
	// firstEvent is the age at which the caller had the first event, and pause the
	// longest time between two events so far.
	firstEvent   clock.Millis
	longestPause clock.Millis
	// lastEventAt is when the last event was passed on.
	lastEventAt clock.Millis
	// route is that of the last attempt; nil before the first.
	route *catalog.Route

	deadlineTimer    *time.Timer
	attemptTimer     *time.Timer
	silenceTimer     *time.Timer
	stallTimer       *time.Timer
	stallReports     chan stallReport
	migrationResults chan dispatch.MigratedMsg
	queryingChain    bool
	timing           eventTiming
	// stallQueries counts the questions since the last event.
	stallQueries int
}

// stoppedTimer returns a timer that does not run.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// run lives the request from its arrival to its end.
func (s *session) run() {
	s.deadlineTimer, s.attemptTimer, s.silenceTimer, s.stallTimer = stoppedTimer(), stoppedTimer(), stoppedTimer(), stoppedTimer()
	s.stallReports, s.migrationResults = make(chan stallReport, 1), make(chan dispatch.MigratedMsg, mailboxSize)
	defer s.release()
	if !s.relay.decider.offerArrival(s.arrival(), s.commands) {
		s.respondError(http.StatusServiceUnavailable, dispatch.ReasonNoMemory, overloadRetryAfter)
		return
	}
	for {
		if done := s.handleNext(); done {
			return
		}
	}
}

// overloadRetryAfter is when to come back to a node that cannot keep up, in ms.
const overloadRetryAfter clock.Millis = 500

func (s *session) arrival() dispatch.ArriveMsg {
	return dispatch.ArriveMsg{
		Request: s.id, CallerID: s.head.ID, Work: work.FromRequest(s.request, s.body), Host: normalizeHost(s.request.Host), Path: s.request.URL.Path,
		Key: s.head.Key, HasKey: s.head.HasKey, Remaining: s.head.Remaining,
		PromptTokens: s.head.PromptTokens, AnswerTokens: s.head.AnswerTokens, HintTokens: s.head.HintTokens,
	}
}

// handleNext waits for what happens next, and reports whether the request is over.
func (s *session) handleNext() bool {
	var pieces chan attemptUpdate
	if s.attempt != nil {
		pieces = s.attempt.updates
	}
	select {
	case cmd := <-s.commands:
		return s.handleCommand(cmd)
	case p := <-pieces:
		return s.handleUpdate(p)
	case <-s.deadlineTimer.C:
		return s.handleTimeout()
	case <-s.attemptTimer.C:
		s.abandon(s.attemptAddress(), "attempt_time_is_up")
	case <-s.silenceTimer.C:
		s.closeSilentConnections()
	case <-s.stallTimer.C:
		s.checkStall()
	case answer := <-s.stallReports:
		s.handleStallReport(answer)
	case msg := <-s.migrationResults:
		s.handleMigrationResult(msg)
	case <-s.request.Context().Done():
		s.logCallerLeft()
		return true
	}
	return false
}

func (s *session) age() clock.Millis { return s.relay.clock.Now().Sub(s.startedAt) }

// handleCommand does what the decider says, and reports whether the request is over.
func (s *session) handleCommand(cmd dispatch.Cmd) bool {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		s.startAttempt(cmd)
	case dispatch.SlotWaitCmd:
		s.logSlotWait(cmd)
	case dispatch.RespondCmd:
		s.logRefusal(cmd)
		s.respondError(cmd.Status, cmd.Reason, cmd.RetryAfter)
		return true
	case dispatch.RelayFailureCmd:
		return s.relayUpstreamFailure()
	case dispatch.AbortResponseCmd:
		s.abortAnswer(cmd.Reason)
		return true
	case dispatch.MigrateCmd:
		s.migrate(cmd)
	case dispatch.RecheckAttemptCmd:
		s.recheckAttempt(cmd)
	case dispatch.RecheckDeadlineCmd:
		s.recheckDeadline(cmd)
	}
	return false
}

// relayUpstreamFailure passes on the failure that an upstream has answered with.
func (s *session) relayUpstreamFailure() bool {
	if s.upstreamFailure == nil {
		s.respondError(http.StatusBadGateway, dispatch.ReasonAnswerLost, 0)
		return true
	}
	if err := s.answer.complete(s.upstreamFailure.head, s.upstreamFailure.data); err != nil {
		s.logCallerLost(err)
		return true
	}
	s.logAnswer(s.upstreamFailure.head.StatusCode)
	return true
}

// delivered says what the caller has of its answer. Nothing can go on after an event
// without a number: another attempt would bring it again.
func (s *session) delivered() dispatch.Delivered {
	switch {
	case !s.answer.started():
		return dispatch.DeliveredNothing
	case s.events > 0 && !s.eventWithoutID:
		return dispatch.DeliveredEvents
	default:
		return dispatch.DeliveredPartial
	}
}
