package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Ask asks for permits, or repeats a question. Where this node is the owner, its answer is
// there at once.
func (k *Limiter) Ask(now clock.Millis, upstream fleet.Incarnation, want int) []AskCmd {
	s := k.upstreamState(upstream)
	if !s.requesting {
		s.beginRequest(now, min(max(want, 1), maxPermitsPerRequest))
	} else if now < s.lastSentAt.Add(resendAfter) {
		return nil
	}
	return k.sendRequest(now, s)
}

// ReportSent tells an upstream's owner what this node has sent there before its limit was known:
// it counts, and other nodes may be given permits that do not fit in beside it.
func (k *Limiter) ReportSent(now clock.Millis, upstream fleet.Incarnation) []AskCmd {
	s := k.upstreamState(upstream)
	if s.requesting || s.advertised.Rate == 0 || s.sentLocally.Sum(now) == 0 {
		return nil
	}
	s.beginRequest(now, 0)
	return k.sendRequest(now, s)
}

// sendRequest sends a question to the first owner that may answer it.
func (k *Limiter) sendRequest(now clock.Millis, s *upstreamState) []AskCmd {
	if s.attempts >= maxAttempts {
		k.members.recordUnanswered(now, s.granter)
	}
	to, found := k.firstCandidate(now, s)
	if !found {
		s.failRequest(now)
		return nil
	}
	if to != s.granter || s.attempts >= maxAttempts {
		s.switchGranter(now, to)
	}
	s.lastSentAt = now
	s.attempts++
	ask := Ask{Upstream: s.upstream, Life: k.bootID, Number: s.seq, Want: s.wanted, Named: s.advertised, Sent: s.unreported(now)}
	if to == k.self {
		grant, cmds := k.HandleAsk(now, k.self, ask)
		k.HandleGrant(now, k.self, grant)
		return cmds
	}
	return []AskCmd{{To: to, Ask: ask}}
}

// firstCandidate returns the first of an upstream's owners that is not silent.
func (k *Limiter) firstCandidate(now clock.Millis, s *upstreamState) (string, bool) {
	for _, name := range k.candidates(s) {
		if name == k.self || !k.members.isSkipped(now, name) {
			return name, true
		}
	}
	return "", false
}

func (k *Limiter) candidates(s *upstreamState) []string {
	if s.candidatesVersion != k.members.version || s.candidates == nil {
		before := s.owner()
		s.candidates, s.candidatesVersion = Candidates(k.members.names, s.upstream), k.members.version
		if s.owner() != before {
			s.ownerSince = k.members.changedAt
		}
	}
	return s.candidates
}

// HandleGrant takes an answer, and returns whether it brings news: permits, the word that there
// are none, or another limit.
func (k *Limiter) HandleGrant(now clock.Millis, from string, grant Grant) bool {
	k.members.recordSeen(now, from)
	s := k.upstreams[grant.Upstream]
	if s == nil || grant.Life != k.bootID {
		return false
	}
	news := grant.Named.ReceivedAt > s.advertised.ReceivedAt && k.apply(now, s, grant.Named)
	if !s.requesting || grant.Number != s.seq || from != s.granter {
		return news
	}
	s.applyGrant(now, grant)
	return true
}

// Tick repeats the questions that nobody has answered. It returns the upstreams whose
// owners all leave them unanswered.
func (k *Limiter) Tick(now clock.Millis) (cmds []AskCmd, failed []fleet.Incarnation) {
	k.owner.expire(now)
	for _, s := range k.upstreams {
		if !s.requesting {
			cmds = append(cmds, k.reportToNewGranter(now, s)...)
			continue
		}
		if now < s.lastSentAt.Add(resendAfter) {
			continue
		}
		cmds = append(cmds, k.sendRequest(now, s)...)
		if !s.requesting {
			failed = append(failed, s.upstream)
		}
	}
	return cmds, failed
}

// reportToNewGranter tells a node what was sent that has come to be the one to ask.
func (k *Limiter) reportToNewGranter(now clock.Millis, s *upstreamState) []AskCmd {
	if s.advertised.Rate == 0 {
		return nil
	}
	if to, found := k.firstCandidate(now, s); !found || to == s.granter {
		return nil
	}
	return k.ReportSent(now, s.upstream)
}
