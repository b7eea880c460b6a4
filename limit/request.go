package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// RequestPermits requests permits, or resends the pending request. If this node is the granter,
// the grant is applied before RequestPermits returns.
func (l *Limiter) RequestPermits(now clock.Millis, upstream fleet.Incarnation, permits int) []PermitRequestCmd {
	s := l.upstreamState(upstream)
	if !s.requesting {
		s.beginRequest(now, min(max(permits, 1), maxPermitsPerRequest))
	} else if now < s.lastSentAt.Add(resendAfter) {
		return nil
	}
	return l.sendRequest(now, s)
}

// ReportSent reports to an upstream's owner what this node sent there before the limit was
// known. The owner counts these requests, so that it grants no more permits than fit beside
// them.
func (l *Limiter) ReportSent(now clock.Millis, upstream fleet.Incarnation) []PermitRequestCmd {
	s := l.upstreamState(upstream)
	if s.requesting || s.advertised.Rate == 0 || s.sentLocally.Sum(now) == 0 {
		return nil
	}
	s.beginRequest(now, 0)
	return l.sendRequest(now, s)
}

// sendRequest sends the pending request to the first candidate that is not skipped.
func (l *Limiter) sendRequest(now clock.Millis, s *upstreamState) []PermitRequestCmd {
	if s.attempts >= maxAttempts {
		l.members.recordUnanswered(now, s.granter)
	}
	to, found := l.firstCandidate(now, s)
	if !found {
		s.failRequest(now)
		return nil
	}
	if to != s.granter || s.attempts >= maxAttempts {
		s.switchGranter(now, to)
	}
	s.lastSentAt = now
	s.attempts++
	req := PermitRequest{Upstream: s.upstream, BootID: l.bootID, Seq: s.seq, Permits: s.wanted, Advertised: s.advertised, Unpermitted: s.unreported(now)}
	if to == l.self {
		grant, cmds := l.HandleRequest(now, l.self, req)
		l.HandleGrant(now, l.self, grant)
		return cmds
	}
	return []PermitRequestCmd{{To: to, PermitRequest: req}}
}

// firstCandidate returns the first of an upstream's candidates that is not skipped. There is none while
// the nodes are unknown.
func (l *Limiter) firstCandidate(now clock.Millis, s *upstreamState) (string, bool) {
	if l.unknownMembers {
		return "", false
	}
	for _, name := range l.candidates(s) {
		if name == l.self || !l.members.isSkipped(now, name) {
			return name, true
		}
	}
	return "", false
}

// candidates returns the nodes that may grant permits for an upstream, and recomputes them
// after a membership change.
func (l *Limiter) candidates(s *upstreamState) []string {
	if s.candidatesVersion != l.members.version || s.candidates == nil {
		previous := s.owner()
		s.candidates, s.candidatesVersion = Candidates(l.members.names, s.upstream), l.members.version
		if s.owner() != previous {
			s.ownerSince = l.members.changedAt
		}
	}
	return s.candidates
}

// HandleGrant applies a grant, and reports whether it changes anything: it answers the pending
// request, with or without permits, or it brings another limit.
func (l *Limiter) HandleGrant(now clock.Millis, from string, grant Grant) bool {
	l.members.recordSeen(now, from)
	s := l.upstreams[grant.Upstream]
	if s == nil || grant.BootID != l.bootID {
		return false
	}
	changed := grant.Advertised.ReceivedAt > s.advertised.ReceivedAt && l.apply(now, s, grant.Advertised)
	if !s.requesting || grant.Seq != s.seq || from != s.granter {
		return changed
	}
	s.applyGrant(now, grant)
	return true
}

// Tick resends unanswered requests. It returns the upstreams for which all candidates left the
// request unanswered.
func (l *Limiter) Tick(now clock.Millis) (cmds []PermitRequestCmd, failed []fleet.Incarnation) {
	l.owner.expire(now)
	for _, s := range l.upstreams {
		if !s.requesting {
			cmds = append(cmds, l.reportToNewGranter(now, s)...)
			continue
		}
		if now < s.lastSentAt.Add(resendAfter) {
			continue
		}
		cmds = append(cmds, l.sendRequest(now, s)...)
		if !s.requesting {
			failed = append(failed, s.upstream)
		}
	}
	return cmds, failed
}

// reportToNewGranter reports sent requests to a node that has become the granter.
func (l *Limiter) reportToNewGranter(now clock.Millis, s *upstreamState) []PermitRequestCmd {
	if s.advertised.Rate == 0 {
		return nil
	}
	if to, found := l.firstCandidate(now, s); !found || to == s.granter {
		return nil
	}
	return l.ReportSent(now, s.upstream)
}
