package limit

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// reachableFor is how long a node counts as reachable after the last message from or about
	// it. Nodes send their usage every 0.3 s.
	reachableFor clock.Millis = 1500
	// removedAfter is how long after the last message a node counts as gone. Until then it
	// is part of the total of which a node must reach half, or else it counts as cut off.
	removedAfter clock.Millis = 10_000
	// skipFor is how long a node that has not answered gets no permit requests. The time
	// doubles with each further unanswered request, up to maxSkip.
	skipFor clock.Millis = 1000
	maxSkip clock.Millis = 8000
	// probeAfter is how long after the last direct message a node is probed by one that would
	// act for it. probeInterval is the time between two probes.
	probeAfter    clock.Millis = 1000
	probeInterval clock.Millis = 300
)

// members holds the nodes that may grant permits, and when messages from them were received.
type members struct {
	self  string
	names []string
	nodes map[string]*member
	// changedAt is when the names last changed. version counts the changes.
	changedAt clock.Millis
	version   int
}

// member is the local view of another node.
type member struct {
	dataCentre string
	// lastSeenAt is when the last message from or about the node was received, or when it was
	// added.
	lastSeenAt clock.Millis
	// skipUntil is the time before which the node gets no permit requests. unanswered is how
	// many requests in a row it has not answered.
	skipUntil  clock.Millis
	unanswered int
	// lastDirectAt is when the last message from the node itself was received.
	lastDirectAt clock.Millis
	// unansweredSince is when this node began to probe it without an answer; zero if it is not
	// probed.
	unansweredSince clock.Millis
	lastProbeAt     clock.Millis
}

func newMembers(self string) *members {
	return &members{self: self, names: []string{self}, nodes: make(map[string]*member)}
}

// set replaces the nodes that may grant permits. This node is one of them if it is listed, or
// if the list is empty.
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
		existing := s.nodes[m.Name]
		if existing == nil {
			existing = &member{lastSeenAt: now, lastDirectAt: now}
		}
		existing.dataCentre = m.DataCentre
		nodes[m.Name] = existing
		names = append(names, m.Name)
	}
	slices.Sort(names)
	s.nodes, s.names = nodes, names
	if !slices.Equal(before, names) {
		s.changedAt = now
		s.version++
	}
}

// recordSeen records a message from a node.
func (s *members) recordSeen(now clock.Millis, name string) {
	if m := s.nodes[name]; m != nil {
		m.lastSeenAt, m.lastDirectAt, m.skipUntil, m.unanswered, m.unansweredSince = now, now, 0, 0, 0
	}
}

// recordDataCentreSeen records a message that reports on a whole data centre. It does not
// count as a direct message from any of the nodes there.
func (s *members) recordDataCentreSeen(now clock.Millis, dataCentre string) {
	for _, m := range s.nodes {
		if m.dataCentre == dataCentre {
			m.lastSeenAt = now
		}
	}
}

// recordUnanswered records that a node has not answered a permit request.
func (s *members) recordUnanswered(now clock.Millis, name string) {
	if m := s.nodes[name]; m != nil {
		m.skipUntil = now.Add(min(skipFor<<min(m.unanswered, 8), maxSkip))
		m.unanswered++
	}
}

// isSkipped reports whether a node gets no permit requests at present.
func (s *members) isSkipped(now clock.Millis, name string) bool {
	m := s.nodes[name]
	return m != nil && now < m.skipUntil
}

// inMinority reports whether this node can reach less than half of the nodes that were seen
// recently. Of two equal halves, the one with the first name is not the minority.
func (s *members) inMinority(now clock.Millis) bool {
	all, reachable := 1, 1
	first, firstReachable := s.self, true
	for name, m := range s.nodes {
		if now > m.lastSeenAt.Add(removedAfter) {
			continue
		}
		isReachable := now <= m.lastSeenAt.Add(reachableFor)
		all++
		if isReachable {
			reachable++
		}
		if name < first {
			first, firstReachable = name, isReachable
		}
	}
	return 2*reachable < all || 2*reachable == all && !firstReachable
}

// probe decides whether to probe a node that has sent no message for probeAfter. It returns how
// long the probes have been unanswered, and whether to send one now.
func (s *members) probe(now clock.Millis, name string) (elapsed clock.Millis, due bool) {
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
		m.lastProbeAt, due = now, true
	}
	return now.Sub(m.unansweredSince), due
}
