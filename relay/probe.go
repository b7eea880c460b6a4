package relay

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
)

// probe checks an upstream on behalf of the decider.
func (r *Relay) probe(cmd dispatch.ProbeCmd) {
	go r.guard("probe", func() {
		msg := dispatch.ProbedMsg{Upstream: cmd.Upstream}
		var err error
		if cmd.Engine {
			var report EngineReport
			report, err = r.reports.get(r.lifetime, cmd.Address, cmd.Upstream)
			msg.Report, msg.Identified = report.Report, report.Identified
		} else {
			err = r.engines.Probe(r.lifetime, cmd.Address, cmd.Upstream)
		}
		// Another upstream at the address shows that the links work; who it is, identify finds out.
		msg.Answered = err == nil || errors.Is(err, ErrOtherUpstream)
		r.stats.count("probe_" + cmd.Reason.String())
		if err != nil {
			r.stats.count("probe_unanswered")
		}
		r.log.Info("probe", zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address), zap.Stringer("reason", cmd.Reason), r.ownDelayField(),
			zap.Float64("pace", msg.Report.Slowdown), zap.Float64("free", msg.Report.FreeMemory), zap.Float64("all", msg.Report.TotalMemory), logging.Err(err))
		r.decider.notify(r.lifetime, msg)
	})
}

// identify asks which upstream uses an address, on behalf of the decider.
func (r *Relay) identify(cmd dispatch.IdentifyCmd) {
	go r.guard("identification", func() {
		presence, err := r.engines.Identify(r.lifetime, cmd.Address, cmd.Path, cmd.Upstream)
		r.log.Info("identified", zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address),
			zap.Stringer("as", presence), logging.Err(err))
		r.handlePresence(cmd.Upstream, cmd.Address, presence)
		r.decider.notify(r.lifetime, dispatch.IdentifiedMsg{Upstream: cmd.Upstream, Presence: presence})
	})
}

// handlePresence handles the result of an identification. Another incarnation at the address
// proves that the upstream has terminated or never ran there.
func (r *Relay) handlePresence(upstream fleet.Incarnation, address string, presence fleet.Presence) {
	if presence == fleet.Replaced {
		r.onReplaced(upstream, address)
	}
}
