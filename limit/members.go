package limit

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// reachableFor is for how long a node counts as there after it was heard of: nodes tell what
	// they have in use each 0.3 s.
	reachableFor clock.Millis = 1500
	// removedAfter is after how long without a word a node is none any more. Until then those
	// that hear less than half of the nodes take themselves to be cut off.
	removedAfter clock.Millis = 10_000
	// skipFor is for how long a node is not asked that has not answered; it doubles with
	// each further time, up to maxSkip.
	skipFor clock.Millis = 1000
	maxSkip clock.Millis = 8000
	// probeAfter is after how long without a word of its own a node is asked whether it is
	// there by one that would take its place, and probeInterval the pause between the questions.
	probeAfter    clock.Millis = 1000
	probeInterval clock.Millis = 300
)

// members are the nodes, and when they were heard of.
type members struct {
	self  string
	names []string
	nodes map[string]*member
	// changedAt is when the names changed last, and version counts that.
	changedAt clock.Millis
	version   int
}

// member is what is known of another node.
type member struct {
	dataCentre string
	// lastSeenAt is when it was heard of last, or became known.
	lastSeenAt clock.Millis
	// skipUntil is until when it is not asked, and silences is how often in a row it has
	// not answered.
	skipUntil  clock.Millis
	unanswered int
	// lastDirectAt is when it was heard itself.
	lastDirectAt clock.Millis
	// unansweredSince is since when this node has asked it in vain, to take its place; zero for
	// not at all.
	unansweredSince clock.Millis
	lastProbeAt     clock.Millis
}

func newMembers(self string) *members {
	return &members{self: self, names: []string{self}, nodes: make(map[string]*member)}
}

// set takes the names of the nodes that may hand out permits. This one is among them if it is
// listed, or if nobody is.
func (s *members) set(now clock.Millis, list []Member) {
	before := s.names
	nodes := make(map[string]*member, len(list))
	var names []string
	if len(list) == 0 {
		names = append(names, s.self)
	}
	for _, m := range list {
		if m.Name == s.self {
			names = append(names, m.Name)
			continue
		}
		known := s.nodes[m.Name]
		if known == nil {
			known = &member{lastSeenAt: now, lastDirectAt: now}
		}
		known.dataCentre = m.DataCentre
		nodes[m.Name] = known
		names = append(names, m.Name)
	}
	slices.Sort(names)
	s.nodes, s.names = nodes, names
	if !slices.Equal(before, names) {
		s.changedAt = now
		s.version++
	}
}

// recordSeen notes a sign of life.
func (s *members) recordSeen(now clock.Millis, name string) {
	if m := s.nodes[name]; m != nil {
		m.lastSeenAt, m.lastDirectAt, m.skipUntil, m.unanswered, m.unansweredSince = now, now, 0, 0, 0
	}
}

// recordDataCentreSeen notes a sign of life of a data centre. It is none of any node in particular.
func (s *members) recordDataCentreSeen(now clock.Millis, dataCentre string) {
	for _, m := range s.nodes {
		if m.dataCentre == dataCentre {
			m.lastSeenAt = now
		}
	}
}

// recordUnanswered notes that a node has not answered.
func (s *members) recordUnanswered(now clock.Millis, name string) {
	if m := s.nodes[name]; m != nil {
		m.skipUntil = now.Add(min(skipFor<<min(m.unanswered, 8), maxSkip))
		m.unanswered++
	}
}

// isSkipped tells whether a node is not asked now.
func (s *members) isSkipped(now clock.Millis, name string) bool {
	m := s.nodes[name]
	return m != nil && now < m.skipUntil
}

// inMinority tells whether this node hears less than half of the nodes that have been there
// lately. Of two halves, the one with the first name is not cut off.
func (s *members) inMinority(now clock.Millis) bool {
	all, heard := 1, 1
	first, firstHeard := s.self, true
	for name, m := range s.nodes {
		if now > m.lastSeenAt.Add(removedAfter) {
			continue
		}
		hears := now <= m.lastSeenAt.Add(reachableFor)
		all++
		if hears {
			heard++
		}
		if name < first {
			first, firstHeard = name, hears
		}
	}
	return 2*heard < all || 2*heard == all && !firstHeard
}

// probe has a node asked whether it is there, if it has not been heard for a while. It
// returns for how long it has been asked in vain, and whether it is to be asked now.
func (s *members) probe(now clock.Millis, name string) (lasted clock.Millis, ask bool) {
	m := s.nodes[name]
	if m == nil {
		return 0, false
	}
	if now <= m.lastDirectAt.Add(probeAfter) {
		return 0, false
	}
	if m.unansweredSince == 0 {
		m.unansweredSince = now
	}
	if now >= m.lastProbeAt.Add(probeInterval) {
		m.lastProbeAt, ask = now, true
	}
	return now.Sub(m.unansweredSince), ask
}
