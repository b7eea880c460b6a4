package forwarding

import (
	"math/rand/v2"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// minAvoidance is how long a node gets no request of a service after it refused one. The time
	// doubles with each consecutive refusal, up to maxAvoidance.
	minAvoidance clock.Millis = 500
	maxAvoidance clock.Millis = 4000
	maxDoublings              = 3
	// servedWindow is how long a node that served a request is preferred.
	servedWindow clock.Millis = 5000
	// silentAfter is how long a node that sends messages each 0.3 s may be silent.
	silentAfter clock.Millis = 1500
	// explorationShare is the share of the requests that go to any node instead of one that has
	// served a request lately.
	explorationShare = 0.15
	// remoteCost is the number of outstanding requests at which a node of this data centre is as
	// good as an idle one of another.
	remoteCost = 2
	// minServing is the number of nodes known to serve from which they are preferred.
	minServing = 2
	// allServices stands for all services.
	allServices = ""
)

// Nodes holds the other nodes and what is known of them.
type Nodes struct {
	dataCentre string
	random     *rand.Rand
	list       []Node
	states     map[string]*nodeState
}

// New returns Nodes for a node of a data centre, without any other node.
func New(dataCentre string, random *rand.Rand) *Nodes {
	return &Nodes{dataCentre: dataCentre, random: random, states: make(map[string]*nodeState)}
}

// Set replaces the other nodes. What is known of those that remain is kept.
func (n *Nodes) Set(list []Node) {
	n.list = list
	known := n.states
	n.states = make(map[string]*nodeState, len(list))
	for _, node := range list {
		if s := known[node.Name]; s != nil {
			n.states[node.Name] = s
			continue
		}
		n.states[node.Name] = newNodeState()
	}
}

// Len returns the number of other nodes.
func (n *Nodes) Len() int { return len(n.list) }

// Choose returns the node that is asked to serve a request for a service, and false if there is
// none. Nodes that were asked for the same request before are left out.
func (n *Nodes) Choose(now clock.Millis, service string, asked func(name string) bool) (Node, bool) {
	var serving, others []Node
	for _, node := range n.list {
		s := n.states[node.Name]
		switch {
		case asked(node.Name) || s.avoided(now, service):
		case s.servedAt != clock.Never && now <= s.servedAt.Add(servedWindow):
			serving = append(serving, node)
		default:
			others = append(others, node)
		}
	}
	if len(others) > 0 && (len(serving) < minServing || n.random.Float64() < explorationShare) {
		return n.lessLoaded(others), true
	}
	if len(serving) > 0 {
		return n.lessLoaded(serving), true
	}
	return Node{}, false
}

// lessLoaded draws two nodes and returns the one with the lower cost.
func (n *Nodes) lessLoaded(candidates []Node) Node {
	first := candidates[n.random.IntN(len(candidates))]
	second := candidates[n.random.IntN(len(candidates))]
	if n.cost(second) < n.cost(first) {
		return second
	}
	return first
}

func (n *Nodes) cost(node Node) int {
	cost := n.states[node.Name].outstanding
	if node.DataCentre != n.dataCentre {
		cost += remoteCost
	}
	return cost
}

// RecordBegun records that a node was asked to serve a request, and RecordEnded that the request
// or the attempt is over.
func (n *Nodes) RecordBegun(name string) {
	if s := n.states[name]; s != nil {
		s.outstanding++
	}
}

// RecordEnded is the counterpart of RecordBegun.
func (n *Nodes) RecordEnded(name string) {
	if s := n.states[name]; s != nil && s.outstanding > 0 {
		s.outstanding--
	}
}

// RecordServed records that a node serves a request for a service.
func (n *Nodes) RecordServed(now clock.Millis, name, service string) {
	if s := n.states[name]; s != nil {
		s.servedAt = now
		delete(s.avoidUntil, service)
		delete(s.refusals, service)
		delete(s.refusals, allServices)
	}
}

// RecordRefused records that a node has no path to a service, or no room for further requests.
func (n *Nodes) RecordRefused(now clock.Millis, name, service string) {
	if s := n.states[name]; s != nil {
		s.avoid(now, service)
	}
}

// RecordUnreached records that a node could not be reached.
func (n *Nodes) RecordUnreached(now clock.Millis, name string) {
	if s := n.states[name]; s != nil {
		s.avoid(now, allServices)
		s.servedAt = clock.Never
	}
}

// RecordHeard records a message of a node. Messages of unknown nodes are ignored.
func (n *Nodes) RecordHeard(now clock.Millis, name string) {
	if s := n.states[name]; s != nil {
		s.heardAt = now
	}
}
