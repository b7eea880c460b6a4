package relay

import (
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
)

const (
	// firstEventStall is after how long without a first event the engines are asked
	// what holds the stream up. First events come within 45 to 75 ms at the
	// median and 130 ms for 99 in 100 (docs/MEASUREMENTS.md); their aim is 500.
	firstEventStall clock.Millis = 220
	// migrationStall is the same after a move: the new engines read the prompt and
	// the answer so far, and the report still names the old one.
	migrationStall clock.Millis = 400
	// flowingWithin is how old the last event may be for a stream to count as
	// unharmed by an engine under suspicion.
	flowingWithin clock.Millis = 60
	// stallQueryInterval is how soon the engines are asked again; a report is that old. It
	// doubles with each time that brings nothing: every question costs what a
	// health check costs, and a stream that waits for a load waits for seconds.
	stallQueryInterval clock.Millis = 200
	// maxIntervalDoublings bounds that: a stream is given up after abandonAfter.
	maxIntervalDoublings = 2
	// slowEngineFactor is how much slower than usual an engine must be to be left for
	// its slowness, and slowEngineStall for how long the stream must have stood still.
	slowEngineFactor              = 2.5
	slowEngineStall  clock.Millis = 400
	// abandonAfter is after how long without an event a stream is taken up
	// elsewhere although every engine answers: they have too much to read, and
	// reading it all again elsewhere adds to that. Callers give a stream up
	// after two seconds.
	abandonAfter clock.Millis = 1600
)

// errAttemptAbandoned is the error of an attempt that the session gave up.
var errAttemptAbandoned = errors.New("relay: taken back")

// errUpstreamCrashed is the error of an attempt whose upstream's process has ended.
var errUpstreamCrashed = errors.New("relay: the upstream has ended")

// stallReport is what the engines of a chain say when a stream stands still.
type stallReport struct {
	attempt *attempt
	// stalled are those that the first engine reports as standing still.
	stalled []StalledStream
	// unresponsive are the parts whose engines did not answer, and slow the one that
	// is slowest, with its pace.
	unresponsive []chain.Stage
	slowest      chain.Stage
	slowdown     float64
}

func (s *session) resetStallTimer() {
	s.stallQueries = 0
	if s.attempt != nil && len(s.attempt.cmd.Chain) > 0 {
		s.stallTimer.Reset(s.timing.stallThreshold().Duration())
	}
}

// checkStall asks the engines of the chain why the stream stands still.
func (s *session) checkStall() {
	if s.attempt == nil {
		return
	}
	s.stallTimer.Reset(s.nextStallQuery().Duration())
	s.stallQueries++
	if s.queryingChain {
		return
	}
	s.queryingChain = true
	a := s.attempt
	go func() { s.stallReports <- s.relay.queryChain(a) }()
}

// nextStallQuery is after which pause the engines are asked again. A check falls on
// abandonAfter: with the pauses between the questions alone a stream that had begun was
// given up after 2.3 s, when its caller had left.
func (s *session) nextStallQuery() clock.Millis {
	next := stallQueryInterval << min(s.stallQueries, maxIntervalDoublings)
	if left := abandonAfter - s.relay.clock.Now().Sub(s.lastUpdateAt); left > 0 {
		return min(next, left)
	}
	return next
}

// queryChain asks all engines for their reports. A dead engine is silent before
// the first engine's report names it.
func (r *Relay) queryChain(a *attempt) stallReport {
	parts := a.cmd.Chain
	got := make([]cachedReport, len(parts))
	var group sync.WaitGroup
	for i, part := range parts {
		group.Go(func() { got[i].report, got[i].err = r.reports.get(r.lifetime, part.Address, part.ID) })
	}
	group.Wait()
	answer := stallReport{attempt: a, stalled: got[0].report.Stalled}
	for i, part := range parts {
		if got[i].err != nil {
			answer.unresponsive = append(answer.unresponsive, part)
			continue
		}
		r.decider.notify(r.lifetime, dispatch.ReportMsg{Upstream: part.ID, Report: got[i].report.Report})
		if got[i].report.Slowdown > answer.slowdown {
			answer.slowest, answer.slowdown = part, got[i].report.Slowdown
		}
	}
	return answer
}

// handleStallReport acts on what the engines say.
func (s *session) handleStallReport(answer stallReport) {
	s.queryingChain = false
	if s.attempt == nil || answer.attempt != s.attempt {
		return
	}
	now := s.relay.clock.Now()
	quiet := now.Sub(s.quietSince)
	at := answer.faultyAddress(s.head.ID)
	switch {
	case quiet < s.timing.stallThreshold():
		// It goes on.
	case at != "":
		s.logStall("stalled", at, quiet, answer)
		s.leaveEngine(at)
	case quiet >= slowEngineStall && answer.slowdown >= slowEngineFactor && s.events > 0 && answer.slowest.Address != s.attemptAddress():
		s.logStall("slow", answer.slowest.Address, quiet, answer)
		s.relay.decider.notify(s.relay.lifetime, dispatch.StalledMsg{
			Request: s.id, Attempt: s.attempt.cmd.Attempt, FaultyAddress: answer.slowest.Address, Slow: true,
		})
	case now.Sub(s.lastUpdateAt) >= abandonAfter:
		// Also after a move: the caller has waited since the last piece.
		s.abandon("", "no_event_for_too_long")
	}
}

func (s *session) logStall(event, at string, quiet clock.Millis, answer stallReport) {
	s.log.Info(event, zap.String("id", s.head.ID), zap.String("at", at), zap.Int64("quiet_ms", int64(quiet)),
		zap.Int("events", s.events), zap.Int("silent", len(answer.unresponsive)), zap.Float64("slowest_pace", answer.slowdown))
}

// faultyAddress returns the address of the engine that holds a stream up, if known.
// A silent first engine comes first: the stream comes from there.
func (a stallReport) faultyAddress(callerID string) string {
	first := a.attempt.cmd.Address
	if len(a.unresponsive) > 0 && a.unresponsive[0].Address == first {
		return first
	}
	for _, stream := range a.stalled {
		if stream.ID == callerID {
			return stream.At
		}
	}
	if len(a.unresponsive) > 0 {
		return a.unresponsive[0].Address
	}
	return ""
}

// recheckAttempt acts on the suspicion that others have of an engine on the way. A
// stream that still flows is left alone; if it stops, its own check follows.
func (s *session) recheckAttempt(cmd dispatch.RecheckAttemptCmd) {
	if s.attempt == nil || s.attempt.cmd.Attempt != cmd.Attempt {
		return
	}
	switch {
	case cmd.Crashed && cmd.SuspectedAddress == s.attempt.cmd.Address:
		s.abandonCrashed()
	case cmd.Crashed || s.relay.clock.Now().Sub(s.quietSince) >= flowingWithin:
		s.leaveEngine(cmd.SuspectedAddress)
	}
}

// abandonCrashed gives an attempt up whose upstream's process has ended: no answer of it
// will come, and none that has begun goes on.
func (s *session) abandonCrashed() {
	s.unanswered = true
	s.failAttempt(dispatch.CauseNoProgress, "", UpstreamStatus{}, errUpstreamCrashed)
}

// leaveEngine moves the stream away from an engine, or takes it up elsewhere if
// it has brought nothing yet.
func (s *session) leaveEngine(at string) {
	if s.events == 0 || at == s.attempt.cmd.Address {
		s.abandon(at, "engine_holds_it_up")
		return
	}
	s.relay.decider.notify(s.relay.lifetime, dispatch.StalledMsg{Request: s.id, Attempt: s.attempt.cmd.Attempt, FaultyAddress: at})
}

// migrate orders the first engine to send the stream over other engines.
func (s *session) migrate(cmd dispatch.MigrateCmd) {
	if s.attempt == nil || s.attempt.cmd.Attempt != cmd.Attempt {
		return
	}
	s.attempt.cmd.Chain = cmd.Chain
	address := s.attempt.cmd.Address
	go func() {
		result, at := s.relay.engines.Move(s.relay.lifetime, address, s.head.ID, cmd.Chain)
		s.log.Info("move", zap.String("id", s.head.ID), zap.Stringer("away_from", cmd.FromEngine),
			zap.String("chain", chainText(cmd.Chain)), zap.Int("result", int(result)), zap.String("at", at))
		s.migrationResults <- dispatch.MigratedMsg{Request: s.id, Attempt: cmd.Attempt, Result: result, FaultyAddress: at}
	}()
}

// handleMigrationResult passes on what came of a move. A stream whose first engine does not
// know it, or does not answer, is taken up elsewhere.
func (s *session) handleMigrationResult(msg dispatch.MigratedMsg) {
	s.migrations++
	s.relay.stats.count("moved")
	s.relay.decider.notify(s.relay.lifetime, msg)
	if s.attempt == nil || s.attempt.cmd.Attempt != msg.Attempt {
		return
	}
	switch msg.Result {
	case dispatch.MigrationUnknownStream:
		s.abandon("", "stream_is_unknown_there")
	case dispatch.MigrationUnanswered:
		s.abandon(s.attemptAddress(), "first_engine_is_silent")
	case dispatch.MigrationDone:
		// The new engines read all tokens first; until then silence is no sign.
		s.quietSince = s.relay.clock.Now()
		s.stallTimer.Reset(migrationStall.Duration())
	case dispatch.MigrationRefused:
		// The decider tries another way.
	}
}

// probe asks an upstream whether it is well, for the decider.
func (r *Relay) probe(cmd dispatch.ProbeCmd) {
	go func() {
		msg := dispatch.ProbedMsg{Upstream: cmd.Upstream}
		var err error
		if cmd.Engine {
			var report EngineReport
			report, err = r.reports.get(r.lifetime, cmd.Address, cmd.Upstream)
			msg.Report, msg.Identified = report.Report, report.Identified
		} else {
			err = r.engines.Probe(r.lifetime, cmd.Address, cmd.Upstream)
		}
		msg.Answered = err == nil
		r.log.Info("probe", zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address),
			zap.Float64("pace", msg.Report.Slowdown), zap.Float64("free", msg.Report.FreeMemory), zap.Float64("all", msg.Report.TotalMemory), logging.Err(err))
		r.decider.notify(r.lifetime, msg)
	}()
}

// identify asks who is at an upstream's address, for the decider.
func (r *Relay) identify(cmd dispatch.IdentifyCmd) {
	go func() {
		presence, err := r.engines.Identify(r.lifetime, cmd.Address, cmd.Path, cmd.Upstream)
		r.log.Info("identified", zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address),
			zap.Stringer("as", presence), logging.Err(err))
		r.handlePresence(cmd.Upstream, cmd.Address, presence)
		r.decider.notify(r.lifetime, dispatch.IdentifiedMsg{Upstream: cmd.Upstream, Presence: presence})
	}()
}

// handlePresence takes in who has answered at an upstream's address. Another one there proves that
// the upstream has ended, or was never there.
func (r *Relay) handlePresence(upstream fleet.Incarnation, address string, presence fleet.Presence) {
	if presence == fleet.Replaced {
		r.onReplaced(upstream, address)
	}
}

func chainText(parts []chain.Stage) string {
	text := make([]byte, 0, len(parts)*chainPartTextBytes)
	for i, p := range parts {
		if i > 0 {
			text = append(text, ' ')
		}
		text = append(text, p.ID.String()...)
		text = append(text, ':')
		text = appendRange(text, p.Layers.From, p.Layers.To)
	}
	return string(text)
}
