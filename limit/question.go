package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Ask asks for permits, or repeats a question. Where this node is the owner, its answer is
// there at once.
func (k *Keeper) Ask(now clock.Millis, upstream fleet.Incarnation, want int) []AskCmd {
	s := k.share(upstream)
	if !s.asking {
		s.begin(now, min(max(want, 1), asksTogether))
	} else if now < s.askedAt.Add(askAgain) {
		return nil
	}
	return k.question(now, s)
}

// Report tells an upstream's owner what this node has sent there before its limit was known:
// it counts, and other nodes may be given permits that do not fit in beside it.
func (k *Keeper) Report(now clock.Millis, upstream fleet.Incarnation) []AskCmd {
	s := k.share(upstream)
	if s.asking || s.named.Rate == 0 || s.all.Sum(now) == 0 {
		return nil
	}
	s.begin(now, 0)
	return k.question(now, s)
}

// question sends a question to the first owner that may answer it.
func (k *Keeper) question(now clock.Millis, s *share) []AskCmd {
	if s.tries >= asksEach {
		k.members.silent(now, s.to)
	}
	to, found := k.answering(now, s)
	if !found {
		s.fail(now)
		return nil
	}
	if to != s.to || s.tries >= asksEach {
		s.turnTo(now, to)
	}
	s.askedAt = now
	s.tries++
	ask := Ask{Upstream: s.upstream, Life: k.life, Number: s.number, Want: s.want, Named: s.named, Sent: s.unreported(now)}
	if to == k.self {
		grant, cmds := k.Asked(now, k.self, ask)
		k.Granted(now, k.self, grant)
		return cmds
	}
	return []AskCmd{{To: to, Ask: ask}}
}

// answering returns the first of an upstream's owners that is not silent.
func (k *Keeper) answering(now clock.Millis, s *share) (string, bool) {
	for _, name := range k.order(s) {
		if name == k.self || !k.members.isSilent(now, name) {
			return name, true
		}
	}
	return "", false
}

func (k *Keeper) order(s *share) []string {
	if s.orderOf != k.members.version || s.order == nil {
		before := s.owner()
		s.order, s.orderOf = Order(k.members.names, s.upstream), k.members.version
		if s.owner() != before {
			s.ownedSince = k.members.changedAt
		}
	}
	return s.order
}

// Granted takes an answer, and returns whether it brings news: permits, the word that there
// are none, or another limit.
func (k *Keeper) Granted(now clock.Millis, from string, grant Grant) bool {
	k.members.heard(now, from)
	s := k.shares[grant.Upstream]
	if s == nil || grant.Life != k.life {
		return false
	}
	news := grant.Named.At > s.named.At && k.learn(now, s, grant.Named)
	if !s.asking || grant.Number != s.number || from != s.to {
		return news
	}
	s.answer(now, grant)
	return true
}

// Tick repeats the questions that nobody has answered. It returns the upstreams whose
// owners all leave them unanswered.
func (k *Keeper) Tick(now clock.Millis) (cmds []AskCmd, failed []fleet.Incarnation) {
	k.owner.expire(now)
	for _, s := range k.shares {
		if !s.asking {
			cmds = append(cmds, k.reportToNext(now, s)...)
			continue
		}
		if now < s.askedAt.Add(askAgain) {
			continue
		}
		cmds = append(cmds, k.question(now, s)...)
		if !s.asking {
			failed = append(failed, s.upstream)
		}
	}
	return cmds, failed
}

// reportToNext tells a node what was sent that has come to be the one to ask.
func (k *Keeper) reportToNext(now clock.Millis, s *share) []AskCmd {
	if s.named.Rate == 0 {
		return nil
	}
	if to, found := k.answering(now, s); !found || to == s.to {
		return nil
	}
	return k.Report(now, s.upstream)
}
