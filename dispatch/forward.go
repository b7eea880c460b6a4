package dispatch

import (
	"net/http"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// maxForwards bounds the nodes that are asked to serve one request.
const maxForwards = 4

// Forwarded describes a request that another node has passed on.
type Forwarded struct {
	// From is the node that received the request from its client.
	From string
	// UpstreamsLeft is the number of upstreams that may still execute the request; 0 for as many
	// as its route allows.
	UpstreamsLeft int
	// Admitted reports that the node has admitted the request and that an attempt may have reached an
	// upstream, and Account is the name of the client account that its key belonged to.
	Admitted bool
	Account  string
	// Overloaded reports that this node has more to do than its processor bears.
	Overloaded bool
}

// NodeRefusal is why another node did not execute a request that was passed on to it.
type NodeRefusal struct {
	Reason     Reason
	RetryAfter clock.Millis
}

// concernsNode reports whether another node may be able to serve a request that a node refused for
// this reason. All other reasons hold for the whole fleet.
func (r Reason) concernsNode() bool {
	switch r {
	case ReasonNoMemory, ReasonRateLimit, ReasonHeldBack, ReasonOverFairShare, ReasonQuarantined, ReasonNoSlot:
		return false
	default:
		return true
	}
}

// lacksOnlyReach reports whether the upstreams that could execute a request are listed and accept
// work, but this node does not reach them.
func (m *Model) lacksOnlyReach(r *request) bool {
	if r.service.Pipeline != nil {
		return m.hasChainBeyondReach(r)
	}
	all := m.byService[r.service.Name]
	return slices.ContainsFunc(all, (*upstream).acceptsWork) && !slices.ContainsFunc(all, func(u *upstream) bool { return m.reaches(r, u) })
}

// reaches reports whether an upstream accepts work and this node can send it a request.
func (m *Model) reaches(r *request, u *upstream) bool { return u.healthy() && !m.avoidsLink(r, u) }

// mayForward reports whether another node may be asked to serve a request. A request is passed on
// once at most.
func (m *Model) mayForward(r *request) bool {
	return r.arrival.Forwarded == nil && m.nodes.Len() > 0 && len(r.askedNodes) < maxForwards && !m.upstreamBoundReached(r)
}

// forwardedUpstreams returns on how many upstreams another node may have a request executed. Of those
// that the route allows, one is left for an attempt elsewhere if that node is lost.
func (m *Model) forwardedUpstreams(r *request) int {
	left := r.maxUpstreams() - m.countedExecutions(r)
	if r.route.MayRepeat() {
		left--
	}
	return max(left, 1)
}

// leavesSuspects reports whether a request gets no suspected upstream of a plain service: another
// node may reach one that is sound.
func (m *Model) leavesSuspects(r *request) bool {
	return r.arrival.Forwarded != nil || m.mayForward(r)
}

// isPathLoss reports whether a request lacks an upstream that it can be sent to.
func (r Reason) isPathLoss() bool { return r == ReasonNoUpstream || r == ReasonNoHolder }

// forward passes a request on to another node. It returns nothing if there is none.
func (m *Model) forward(r *request) []Cmd {
	if !m.mayForward(r) {
		return nil
	}
	node, ok := m.nodes.Choose(m.now, r.service.Name, func(name string) bool { return r.askedNodes[name] })
	if !ok {
		return nil
	}
	if r.askedNodes == nil {
		r.askedNodes = make(map[string]bool)
	}
	r.askedNodes[node.Name] = true
	r.forwardedUpstreams = m.forwardedUpstreams(r)
	m.nodes.RecordBegun(node.Name)
	cmd := SendCmd{Node: node.Name, Address: node.Address, UpstreamsLeft: r.forwardedUpstreams, Admitted: r.admittance.settled}
	return m.beginAttempt(r, cmd, nil)
}

// recordForwardFailure records what a failed attempt at another node shows about that node.
func (m *Model) recordForwardFailure(r *request, msg AttemptFailedMsg) {
	switch {
	case r.progress != atNode:
	case msg.Cause == CauseNodeRefused && msg.Refusal.Reason.concernsNode():
		r.nodeRefusals++
		m.nodes.RecordRefused(m.now, r.forwardedTo, r.service.Name)
	case msg.Cause == CauseNodeRefused:
		m.nodes.RecordServed(m.now, r.forwardedTo, r.service.Name)
	case msg.Cause == CauseNotSent:
		r.nodeRefusals++
		m.nodes.RecordUnreached(m.now, r.forwardedTo)
	case msg.Cause == CauseNoProgress:
		m.nodes.RecordUnreached(m.now, r.forwardedTo)
	}
}

// relayRefusal ends a request as another node has decided for the whole fleet.
func (m *Model) relayRefusal(r *request, refusal NodeRefusal) []Cmd {
	if r.answerBegun() {
		return m.waitOrAbort(r, refusal.Reason)
	}
	return m.refuse(r.arrival.Request, http.StatusServiceUnavailable, refusal.Reason, m.capRetryAfter(r, refusal.RetryAfter))
}

// refuseForwarded refuses a request of another node that this node may not or can't take.
func (m *Model) refuseForwarded(msg ArriveMsg) []Cmd {
	switch {
	case msg.Forwarded == nil:
		return nil
	case msg.Forwarded.From == m.limits.Self():
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNoPath, coverageGapRetryAfter)
	case m.stop.begun:
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonStopping, shortRetryAfter)
	case m.awaitsComparison(m.now) || msg.Forwarded.Overloaded || m.forwardedRequests >= m.policy.MaxForwarded:
		return m.refuse(msg.Request, http.StatusServiceUnavailable, ReasonNodeBusy, shortRetryAfter)
	}
	return nil
}
