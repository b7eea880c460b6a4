package relay

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

const (
	// firstEventStall is the time in ms without a first event after which the engines are asked
	// why the stream stalls. First events arrive within 45 to 75 ms at the median and within
	// 130 ms for 99 in 100 (docs/MEASUREMENTS.md); the aim is 500 ms.
	firstEventStall clock.Millis = 220
	// migrationStall is the time in ms without an event after a migration until the engines are
	// queried: the new engines process the prompt and the answer so far, and the first engine's
	// report still names the old engine.
	migrationStall clock.Millis = 400
	// flowingWithin is the maximum age in ms of the last event at which a stream counts as
	// unaffected by a suspected engine.
	flowingWithin clock.Millis = 60
	// stallQueryInterval is the time in ms until the engines are queried again; it equals the
	// age of a report. The interval doubles after each query without a result, since every
	// query costs as much as a health check and a stream that waits for layers to load waits
	// for seconds.
	stallQueryInterval clock.Millis = 200
	// maxIntervalDoublings bounds the doublings of stallQueryInterval, since a
	// stream is abandoned after abandonAfter.
	maxIntervalDoublings = 2
	// slowEngineFactor is the slowdown at which a stream is migrated off an engine, and
	// slowEngineStall the time in ms for which the stream must have stalled before.
	slowEngineFactor              = 2.5
	slowEngineStall  clock.Millis = 400
	// abandonAfter is the time in ms without an event after which a stream is resumed at
	// another upstream although every engine responds. Such engines have too many tokens to
	// process, and resuming elsewhere adds to that load. Callers give up a stream after two
	// seconds.
	abandonAfter clock.Millis = 1600
)

// errAttemptAbandoned is the error of an attempt that the session abandoned.
var errAttemptAbandoned = errors.New("relay: attempt abandoned")

// errUpstreamCrashed is the error of an attempt whose upstream process has crashed.
var errUpstreamCrashed = errors.New("relay: upstream process has crashed")

func (s *session) resetStallTimer() {
	s.stallQueries = 0
	if s.attempt != nil && s.watchesForward() {
		s.stallTimer.Reset(abandonAfter.Duration())
	}
	if s.attempt != nil && len(s.attempt.cmd.Chain) > 0 {
		s.stallTimer.Reset(s.timing.stallThreshold().Duration())
	}
}

// checkStall asks the engines of the chain why the stream stalls.
func (s *session) checkStall() {
	if s.attempt == nil {
		return
	}
	if s.watchesForward() {
		s.checkForward()
		return
	}
	if s.suspectedAddress != "" && s.pause() >= s.relay.ExtendedLimit(flowingWithin) {
		address := s.suspectedAddress
		s.suspectedAddress = ""
		s.stallTimer.Reset(s.nextStallQuery().Duration())
		s.leaveEngine(address, true)
		return
	}
	if s.postpone(s.stallTimer, s.quietSince, s.stallLimit()) {
		return
	}
	s.stallTimer.Reset(s.nextStallQuery().Duration())
	s.stallQueries++
	if s.queryingChain {
		return
	}
	s.queryingChain = true
	a, parts, wait := s.attempt, s.attempt.cmd.Chain, s.reportWait()
	go s.relay.guard("stall_query", func() { s.stallReports <- s.relay.queryChain(a, parts, wait) })
}

// pause returns the length of the pause that counts for stall checks.
func (s *session) pause() clock.Millis { return s.relay.clock.Now().Sub(s.quietSince) }

// pauseIsBounded reports whether the answer is a stream over engines that has begun and whose route
// bounds the pause between events.
func (s *session) pauseIsBounded() bool {
	return s.events > 0 && len(s.attempt.cmd.Chain) > 0 && s.route.EventGapTarget > 0
}

// reportWait returns how long a stalled stream waits for the reports of its engines; zero for the
// limit of the query alone.
func (s *session) reportWait() clock.Millis {
	if !s.pauseIsBounded() {
		return 0
	}
	return s.relay.ExtendedLimit(reportWait(s.route.EventGapTarget, s.relay.clock.Now().Sub(s.lastEventAt)))
}

// nextStallQuery returns the time until the engines are queried again. One query always falls
// on abandonAfter: with the doubling intervals alone, a partial stream was abandoned only after
// 2.3 s, when its caller had disconnected.
func (s *session) nextStallQuery() clock.Millis {
	next := stallQueryInterval << min(s.stallQueries, maxIntervalDoublings)
	if remaining := s.relay.ExtendedLimit(abandonAfter) - s.relay.clock.Now().Sub(s.lastUpdateAt); remaining > 0 {
		return min(next, remaining)
	}
	return next
}

// handleStallReport migrates or abandons the stream if the engines' reports explain the stall.
func (s *session) handleStallReport(report stallReport) {
	s.queryingChain = false
	if s.attempt == nil || report.attempt != s.attempt {
		return
	}
	now := s.relay.clock.Now()
	pause := now.Sub(s.quietSince)
	address := report.faultyAddress(s.head.ID)
	switch {
	case pause < s.relay.ExtendedLimit(s.timing.stallThreshold()):
		// The stream has resumed, or may have.
	case address != "":
		s.logStall("stalled", address, pause, report)
		s.leaveEngine(address, report.mayAnswer(address))
	case pause >= s.relay.ExtendedLimit(slowEngineStall) && report.slowdown >= slowEngineFactor && s.events > 0 && report.slowest.Address != s.attemptAddress():
		s.logStall("slow", report.slowest.Address, pause, report)
		s.relay.decider.notify(s.relay.lifetime, dispatch.StalledMsg{
			Request: s.id, Attempt: s.attempt.cmd.Attempt, FaultyAddress: report.slowest.Address, Slow: true,
			Events: s.events, LastEventAt: s.lastEventAt,
		})
	case now.Sub(s.lastUpdateAt) >= s.relay.ExtendedLimit(abandonAfter):
		// The pause counts from the last update even after a migration, since that is how long
		// the caller has waited.
		s.abandon("", "no_event_for_too_long", false)
	}
}

func (s *session) logStall(event, address string, pause clock.Millis, report stallReport) {
	s.log.Info(event, zap.String("id", s.head.ID), zap.String("at", address), zap.Int64("quiet_ms", int64(pause)),
		zap.Int("events", s.events), zap.Int("silent", len(report.unresponsive)), zap.Int("overdue", len(report.overdue)), zap.Float64("slowest_pace", report.slowdown), s.ownDelayField())
}

// recheckAttempt handles a suspected or crashed engine in the attempt's chain. A stream that
// still receives events is left alone; its own stall check applies if it stops. If its route bounds
// pauses, it leaves the engine as soon as it no longer counts as unaffected.
func (s *session) recheckAttempt(cmd dispatch.RecheckAttemptCmd) {
	if s.attempt == nil || s.attempt.cmd.Attempt != cmd.Attempt {
		return
	}
	switch {
	case cmd.Crashed && cmd.SuspectedAddress == s.attempt.cmd.Address:
		s.abandonCrashed()
	case cmd.Crashed || s.pause() >= s.relay.ExtendedLimit(flowingWithin):
		s.leaveEngine(cmd.SuspectedAddress, !cmd.Crashed && s.pauseIsBounded())
	case s.pauseIsBounded():
		s.suspectedAddress = cmd.SuspectedAddress
		s.stallTimer.Reset((flowingWithin - s.pause()).Duration())
	}
}

// abandonCrashed gives up an attempt whose upstream process has crashed: its answer will
// neither start nor continue.
func (s *session) abandonCrashed() {
	s.unanswered = true
	s.failAttempt(dispatch.CauseNoProgress, UpstreamStatus{}, errUpstreamCrashed)
}

// leaveEngine asks the decider to migrate the stream off an engine, or abandons the attempt if
// the stream has no event yet or the engine is the first one. The finding is provisional if the
// engine may still answer.
func (s *session) leaveEngine(address string, provisional bool) {
	if s.events == 0 || address == s.attempt.cmd.Address {
		s.abandon(address, "engine_holds_it_up", provisional)
		return
	}
	s.relay.decider.notify(s.relay.lifetime, dispatch.StalledMsg{
		Request: s.id, Attempt: s.attempt.cmd.Attempt, FaultyAddress: address, Provisional: provisional,
		Events: s.events, LastEventAt: s.lastEventAt,
	})
}

// migrate orders the first engine to send the stream through another chain.
func (s *session) migrate(cmd dispatch.MigrateCmd) {
	if s.attempt == nil || s.attempt.cmd.Attempt != cmd.Attempt {
		return
	}
	s.attempt.cmd.Chain = cmd.Chain
	s.attempt.chain.Store(&cmd.Chain)
	address := s.attempt.cmd.Address
	go s.relay.guard("migration", func() {
		result, refusedBy := s.relay.engines.Move(s.relay.lifetime, address, s.head.ID, cmd.Chain)
		s.log.Info("move", zap.String("id", s.head.ID), zap.Stringer("away_from", cmd.FromEngine),
			zap.String("chain", chainText(cmd.Chain)), zap.Int("result", int(result)), zap.String("at", refusedBy), recoveryField(cmd.Recovery))
		s.migrationResults <- dispatch.MigratedMsg{Request: s.id, Attempt: cmd.Attempt, Result: result, FaultyAddress: refusedBy}
	})
}

// handleMigrationResult reports the result of a migration to the decider. A stream whose first
// engine does not know it or does not respond is abandoned and resumed at another upstream.
func (s *session) handleMigrationResult(msg dispatch.MigratedMsg) {
	s.migrations++
	s.relay.stats.count("moved")
	s.relay.decider.notify(s.relay.lifetime, msg)
	if s.attempt == nil || s.attempt.cmd.Attempt != msg.Attempt {
		return
	}
	switch msg.Result {
	case dispatch.MigrationUnknownStream:
		s.abandon("", "stream_is_unknown_there", false)
	case dispatch.MigrationUnanswered:
		s.abandon(s.attemptAddress(), "first_engine_is_silent", false)
	case dispatch.MigrationDone:
		// The new engines process all tokens first, so a pause does not indicate a stall yet.
		s.quietSince = s.relay.clock.Now()
		s.stallTimer.Reset(s.stallAfterMigration().Duration())
	case dispatch.MigrationRefused:
		// The decider chooses another chain.
	}
}

// stallAfterMigration returns the time without an event after a migration until the engines are
// queried. If the route bounds pauses, it is at most the largest pause: a new engine may have crashed
// together with the former one.
func (s *session) stallAfterMigration() clock.Millis {
	if s.pauseIsBounded() {
		return min(migrationStall, s.route.EventGapTarget)
	}
	return migrationStall
}
