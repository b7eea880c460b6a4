package forwarding

import "github.com/hoistjunction/hoistjunction/clock"

// Node is another node that may serve requests of this one.
type Node struct {
	Name       string
	DataCentre string
	// Address is where the node accepts requests of other nodes, as ip:port.
	Address string
}

// nodeState is what this node knows about another one.
type nodeState struct {
	// outstanding counts this node's requests that the other one serves.
	outstanding int
	// servedAt is when the other node last served a request of this one. heardAt is when it last
	// sent any message; Never for a node that sends none.
	servedAt clock.Millis
	heardAt  clock.Millis
	// avoidUntil is the time before which the node gets no request, by service; the empty name
	// stands for all services. refusals counts consecutive refusals in the same way. Both are nil until
	// the first refusal: a node knows hundreds of others and asks few.
	avoidUntil map[string]clock.Millis
	refusals   map[string]int
}

func newNodeState() *nodeState {
	return &nodeState{servedAt: clock.Never, heardAt: clock.Never}
}

// avoided reports whether the node gets no request for a service now. A node that used to send
// messages and has stopped counts as lost.
func (s *nodeState) avoided(now clock.Millis, service string) bool {
	if s.heardAt != clock.Never && now > s.heardAt.Add(silentAfter) {
		return true
	}
	return now < s.avoidUntil[service] || now < s.avoidUntil[allServices]
}

// avoid makes the node get no request for a service, for longer with each consecutive call.
func (s *nodeState) avoid(now clock.Millis, service string) {
	if s.avoidUntil == nil {
		s.avoidUntil, s.refusals = make(map[string]clock.Millis), make(map[string]int)
	}
	s.avoidUntil[service] = now.Add(min(minAvoidance<<min(s.refusals[service], maxDoublings), maxAvoidance))
	s.refusals[service]++
}
