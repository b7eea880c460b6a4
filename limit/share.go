package limit

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// share is what a node knows of one upstream's limit, and what it may send there.
type share struct {
	upstream fleet.Incarnation
	named    Named
	// permits count until permitsUntil, and queue is how many were wanted by all nodes in
	// vain when the last answer came.
	permits      int
	permitsUntil clock.Millis
	nextAt       clock.Millis
	queue        int
	// all is what this node has sent, and known the part of it that whoever it asks knows
	// of.
	all   History
	known History

	// order are those that may hand out permits, by the names of a version.
	order   []string
	orderOf int
	// ownedSince is since when the first of them has been the first.
	ownedSince clock.Millis

	// The question under way: to whom, since when, asked last at, and how often there.
	asking  bool
	to      string
	number  uint64
	want    int
	begunAt clock.Millis
	askedAt clock.Millis
	tries   int
	told    []uint32
	toldAt  clock.Millis
}

// owner is who hands out permits; empty before that is known.
func (s *share) owner() string {
	if len(s.order) == 0 {
		return ""
	}
	return s.order[0]
}

// due is after how long a permit falls due by the whole of the limit. Whoever hands out a part
// only, in an owner's place, tells of longer; the owner may be there by then.
func (s *share) due() clock.Millis {
	if s.named.Rate == 0 {
		return 0
	}
	return clock.Millis(math.Ceil(msPerSecond / (s.named.Rate * pace)))
}

// learn takes in a newer word on the limit, and returns whether it is another number.
func (s *share) learn(now clock.Millis, word Named) bool {
	changed := word.Rate != s.named.Rate
	if s.named.Rate == 0 && word.Rate > 0 {
		s.all.DropBefore(now, word.At.Sub(settles))
	}
	if changed {
		s.nextAt = min(s.nextAt, now)
	}
	if word.Rate == 0 {
		s.permits, s.asking, s.nextAt = 0, false, 0
	}
	s.named = word
	return changed
}

// begin begins a question.
func (s *share) begin(now clock.Millis, want int) {
	s.asking, s.want, s.begunAt, s.tries = true, want, now, 0
	s.number++
	s.told = nil
}

// turnTo has the question go to a node, as a new one. A node that was not asked before knows
// nothing of what was sent.
func (s *share) turnTo(now clock.Millis, to string) {
	if s.tries > 0 {
		s.begin(now, s.want)
	}
	if s.to != to {
		s.to, s.known = to, History{}
	}
}

// fail ends a question that nobody answers.
func (s *share) fail(now clock.Millis) {
	s.asking = false
	s.nextAt = now.Add(unanswered)
}

// unreported returns what was sent that whoever is asked does not know of. A question that
// is repeated tells the same.
func (s *share) unreported(now clock.Millis) []uint32 {
	if s.tries <= 1 {
		s.told, s.toldAt = s.all.Less(now, &s.known), now
	}
	return s.told
}

// answer takes the answer to the question.
func (s *share) answer(now clock.Millis, grant Grant) {
	s.asking = false
	s.known.AddAges(s.toldAt, s.told)
	s.nextAt, s.queue = 0, grant.Queue
	if grant.Permits < s.want || grant.Next > 0 {
		s.nextAt = now.Add(max(min(grant.Next, s.due()), 1))
	}
	if until := s.begunAt.Add(permitLasts); grant.Permits > 0 && now <= until {
		if now > s.permitsUntil {
			s.permits = 0
		}
		s.permits, s.permitsUntil = s.permits+grant.Permits, max(s.permitsUntil, until)
	}
}
