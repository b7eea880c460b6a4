package limit

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// heardFor is for how long a node counts as there after it was heard of: nodes tell what
	// they have in use each 0.3 s.
	heardFor clock.Millis = 1500
	// lostAfter is after how long without a word a node is none any more. Until then those
	// that hear less than half of the nodes take themselves to be cut off.
	lostAfter clock.Millis = 10_000
	// silentFor is for how long a node is not asked that has not answered; it doubles with
	// each further time, up to longestSilent.
	silentFor     clock.Millis = 1000
	longestSilent clock.Millis = 8000
	// doubtAfter is after how long without a word of its own a node is asked whether it is
	// there by one that would take its place, and doubtEvery the pause between the questions.
	doubtAfter clock.Millis = 1000
	doubtEvery clock.Millis = 300
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
	// heardAt is when it was heard of last, or became known.
	heardAt clock.Millis
	// silentUntil is until when it is not asked, and silences is how often in a row it has
	// not answered.
	silentUntil clock.Millis
	silences    int
	// directAt is when it was heard itself.
	directAt clock.Millis
	// doubtedAt is since when this node has asked it in vain, to take its place; zero for
	// not at all.
	doubtedAt clock.Millis
	probedAt  clock.Millis
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
			known = &member{heardAt: now, directAt: now}
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

// heard notes a sign of life.
func (s *members) heard(now clock.Millis, name string) {
	if m := s.nodes[name]; m != nil {
		m.heardAt, m.directAt, m.silentUntil, m.silences, m.doubtedAt = now, now, 0, 0, 0
	}
}

// heardAll notes a sign of life of a data centre. It is none of any node in particular.
func (s *members) heardAll(now clock.Millis, dataCentre string) {
	for _, m := range s.nodes {
		if m.dataCentre == dataCentre {
			m.heardAt = now
		}
	}
}

// silent notes that a node has not answered.
func (s *members) silent(now clock.Millis, name string) {
	if m := s.nodes[name]; m != nil {
		m.silentUntil = now.Add(min(silentFor<<min(m.silences, 8), longestSilent))
		m.silences++
	}
}

// isSilent tells whether a node is not asked now.
func (s *members) isSilent(now clock.Millis, name string) bool {
	m := s.nodes[name]
	return m != nil && now < m.silentUntil
}

// cutOff tells whether this node hears less than half of the nodes that have been there
// lately. Of two halves, the one with the first name is not cut off.
func (s *members) cutOff(now clock.Millis) bool {
	all, heard := 1, 1
	first, firstHeard := s.self, true
	for name, m := range s.nodes {
		if now > m.heardAt.Add(lostAfter) {
			continue
		}
		hears := now <= m.heardAt.Add(heardFor)
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

// doubt has a node asked whether it is there, if it has not been heard for a while. It
// returns for how long it has been asked in vain, and whether it is to be asked now.
func (s *members) doubt(now clock.Millis, name string) (lasted clock.Millis, ask bool) {
	m := s.nodes[name]
	if m == nil {
		return 0, false
	}
	if now <= m.directAt.Add(doubtAfter) {
		return 0, false
	}
	if m.doubtedAt == 0 {
		m.doubtedAt = now
	}
	if now >= m.probedAt.Add(doubtEvery) {
		m.probedAt, ask = now, true
	}
	return now.Sub(m.doubtedAt), ask
}
