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

// session handles one request of a caller.
type session struct {
	relay   *Relay
	id      dispatch.RequestID
	head    CallerHead
	body    []byte
	answer  *answerWriter
	request *http.Request
	mailbox *mailbox
	// forwarded describes a request that another node has passed on; nil for a caller's own.
	forwarded *dispatch.Forwarded
	log       *zap.Logger
	startedAt clock.Millis

	// attempt is the current attempt; nil between attempts.
	attempt *attempt
	sentAt  clock.Millis
	// unanswered reports that an attempt was abandoned because no answer, or no further part of
	// it, arrived.
	unanswered bool
	// mayHaveExecuted reports whether an upstream may have executed a failed attempt.
	mayHaveExecuted bool
	// sentTo contains the upstream incarnations to which the request was sent.
	sentTo map[fleet.Incarnation]bool
	// upstreamFailure is the last 5xx answer of an upstream, kept for a RelayCmd.
	upstreamFailure *attemptUpdate
	// lastEventID is the id of the last event with a numeric id that the caller has received,
	// and lastEventNumber its value; hasEventNumber reports whether there is one.
	lastEventID     string
	lastEventNumber int64
	hasEventNumber  bool
	// eventWithoutID reports that the last event written to the caller has no numeric id.
	eventWithoutID bool
	events         int
	lastUpdateAt   clock.Millis
	// quietSince is the start of the pause that counts for stall checks: the last update, or a
	// migration after which the new engines process all tokens again.
	quietSince clock.Millis
	attempts   int
	migrations int
	// outcomeLogged reports that the reason for an incomplete answer has been logged.
	outcomeLogged bool
	// firstEvent is the age of the request at the first event, and longestPause the longest
	// time between two events.
	firstEvent   clock.Millis
	longestPause clock.Millis
	// attemptBegun reports whether the current attempt has brought an event.
	attemptBegun bool
	// predictedFirstEvent is the predicted time from sending to the first event, of the attempt
	// that brought the first event or else of the last one, and firstEventTook the actual time;
	// zero without one.
	predictedFirstEvent clock.Millis
	firstEventTook      clock.Millis
	// lastEventAt is the time at which the last event was written to the caller.
	lastEventAt clock.Millis
	// route is the route of the last attempt; nil before the first.
	route *catalog.Route

	deadlineTimer    *time.Timer
	attemptTimer     *time.Timer
	silenceTimer     *time.Timer
	stallTimer       *time.Timer
	firstEventTimer  *time.Timer
	stallReports     chan stallReport
	migrationResults chan dispatch.MigratedMsg
	queryingChain    bool
	timing           eventTiming
	// stallQueries counts the stall queries since the last event.
	stallQueries int
	// suspectedAddress is the address of a suspected engine that the stream leaves if no event
	// arrives soon; empty if none.
	suspectedAddress string
}

// stoppedTimer returns a timer that is not running.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// run handles the request from arrival to end.
func (s *session) run() {
	s.deadlineTimer, s.attemptTimer, s.silenceTimer, s.stallTimer = stoppedTimer(), stoppedTimer(), stoppedTimer(), stoppedTimer()
	s.firstEventTimer = stoppedTimer()
	s.stallReports, s.migrationResults = make(chan stallReport, 1), make(chan dispatch.MigratedMsg, maxAdvice)
	defer s.release()
	if s.head.Remaining > 0 {
		// The first attempt sets the timer anew. Until then the decider ends the request earlier, if it decides.
		s.deadlineTimer.Reset(s.head.Remaining.Duration())
	}
	if !s.relay.decider.offerArrival(s.arrival(), s.mailbox) {
		s.respondError(http.StatusServiceUnavailable, dispatch.ReasonNoMemory, overloadRetryAfter)
		return
	}
	for {
		if done := s.handleNext(); done {
			return
		}
	}
}

// overloadRetryAfter is the Retry-After, in ms, that an overloaded node sends.
const overloadRetryAfter clock.Millis = 500

func (s *session) arrival() dispatch.ArriveMsg {
	return dispatch.ArriveMsg{
		Request: s.id, CallerID: s.head.ID, Work: work.FromRequest(s.request, s.body), Host: normalizeHost(s.request.Host), Path: s.request.URL.EscapedPath(),
		Key: s.head.Key, HasKey: s.head.HasKey, Remaining: s.head.Remaining,
		PromptTokens: s.head.PromptTokens, AnswerTokens: s.head.AnswerTokens, HintTokens: s.head.HintTokens, PromptParts: s.head.PromptParts,
		BodyBytes: len(s.body), Forwarded: s.forwarded,
	}
}

// handleNext waits for the next event of the session and reports whether the request has ended.
func (s *session) handleNext() bool {
	var updates chan attemptUpdate
	if s.attempt != nil {
		updates = s.attempt.updates
	}
	select {
	case cmd := <-s.mailbox.decisions:
		return s.handleCommand(cmd)
	case cmd := <-s.mailbox.advice:
		return s.handleCommand(cmd)
	case update := <-updates:
		return s.handleUpdate(update)
	case <-s.deadlineTimer.C:
		return s.deliverReady() || s.handleTimeout()
	case <-s.attemptTimer.C:
		if s.deliverReady() {
			return true
		}
		s.handleAttemptTimeout()
	case <-s.silenceTimer.C:
		s.handleSilence()
	case <-s.stallTimer.C:
		s.checkStall()
	case <-s.firstEventTimer.C:
		s.handleFirstEventLimit()
	case report := <-s.stallReports:
		s.handleStallReport(report)
	case msg := <-s.migrationResults:
		s.handleMigrationResult(msg)
	case <-s.relay.aborted:
		return s.handleAbort()
	case <-s.request.Context().Done():
		s.logCallerLeft()
		return true
	}
	return false
}

func (s *session) age() clock.Millis { return s.relay.clock.Now().Sub(s.startedAt) }

// handleCommand carries out a command of the decider and reports whether the request has ended.
func (s *session) handleCommand(cmd dispatch.Cmd) bool {
	if endsAttempt(cmd) && s.deliverReady() {
		return true
	}
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		s.startAttempt(cmd)
	case dispatch.SlotWaitCmd:
		s.logSlotWait(cmd)
	case dispatch.RespondCmd:
		s.logRefusal(cmd)
		s.respondError(cmd.Status, cmd.Reason, cmd.RetryAfter)
		return true
	case dispatch.EndRequestCmd:
		s.endAtStop(cmd.Answer)
		return true
	case dispatch.RelayFailureCmd:
		return s.relayUpstreamFailure()
	case dispatch.AbortResponseCmd:
		s.abortAnswer(cmd.Reason)
		return true
	case dispatch.MigrateCmd:
		s.migrate(cmd)
	case dispatch.AbandonCmd:
		s.abandonOverdue(cmd)
	case dispatch.RecheckAttemptCmd:
		s.recheckAttempt(cmd)
	case dispatch.RecheckDeadlineCmd:
		s.recheckDeadline(cmd)
	}
	return false
}

// endsAttempt reports whether a command gives up the current attempt.
func endsAttempt(cmd dispatch.Cmd) bool {
	switch cmd.(type) {
	case dispatch.RespondCmd, dispatch.EndRequestCmd, dispatch.AbortResponseCmd, dispatch.AbandonCmd:
		return true
	}
	return false
}

// relayUpstreamFailure forwards the 5xx answer of an upstream to the caller.
func (s *session) relayUpstreamFailure() bool {
	if s.upstreamFailure == nil {
		s.respondError(http.StatusBadGateway, dispatch.ReasonAnswerLost, 0)
		return true
	}
	if err := s.answer.complete(s.upstreamFailure.head, s.upstreamFailure.upstream, s.upstreamFailure.data); err != nil {
		s.logCallerLost(err)
		return true
	}
	s.logAnswer(s.upstreamFailure.head.StatusCode)
	return true
}

// delivered returns how much of the answer the caller has received. A stream cannot be resumed
// after an event without a numeric id, since another attempt would send that event again.
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
