package lab

import (
	"net/http"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/forwarding"
)

// maxForwarded is how many requests of other nodes a node serves at a time.
const maxForwarded = 128

// forwardTargets returns the other nodes, which may serve requests of a node.
func (w *world) forwardTargets(n *node) []forwarding.Node {
	if w.variant.NoForwarding {
		return nil
	}
	var list []forwarding.Node
	for _, o := range w.nodes {
		if o != n {
			list = append(list, forwarding.Node{Name: o.name, DataCentre: o.dataCentre, Address: o.name})
		}
	}
	return list
}

// forward passes a request on to another node.
func (s *session) forward(cmd dispatch.SendCmd) {
	w := s.node.world
	s.forwardAttempt = cmd.Attempt
	w.result.Forwards++
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.name == cmd.Node })
	if i < 0 || !w.nodes[i].running {
		w.after(connectTimeout, func() { s.failForward(cmd.Attempt, dispatch.CauseNotSent, dispatch.NodeRefusal{}) })
		return
	}
	w.after(networkDelay, func() {
		if s.ended || s.forwardAttempt != cmd.Attempt {
			return
		}
		w.nodes[i].takeOver(s, cmd)
	})
}

// takeOver serves a request that another node has passed on.
func (n *node) takeOver(origin *session, cmd dispatch.SendCmd) {
	c := origin.caller
	n.lastRequestID++
	s := &session{node: n, id: n.lastRequestID, caller: c, origin: origin, originAttempt: cmd.Attempt, receivedEvents: origin.receivedEvents, resumedFrom: origin.receivedEvents, reachedEngine: origin.reachedEngine}
	origin.taken = s
	n.sessions[s.id] = s
	n.update(c.arrival(s.id, &dispatch.Forwarded{From: origin.node.name, UpstreamsLeft: cmd.UpstreamsLeft, Admitted: cmd.Admitted, Account: cmd.Account}))
}

// reportToOrigin reports the end of a forwarded request to the node that passed it on.
func (s *session) reportToOrigin(cmd dispatch.Cmd) {
	cause, refusal := dispatch.CauseUnknown, dispatch.NodeRefusal{}
	if respond, ok := cmd.(dispatch.RespondCmd); ok && respond.Status == http.StatusServiceUnavailable {
		cause, refusal = dispatch.CauseNodeRefused, dispatch.NodeRefusal{Reason: respond.Reason, RetryAfter: respond.RetryAfter}
	}
	s.origin.failForward(s.originAttempt, cause, refusal)
}

// failForward reports to the node that its attempt at another node has failed.
func (s *session) failForward(attempt int, cause dispatch.Cause, refusal dispatch.NodeRefusal) {
	if s.ended || s.forwardAttempt != attempt {
		return
	}
	s.forwardAttempt, s.taken = 0, nil
	msg := dispatch.AttemptFailedMsg{Request: s.id, Attempt: attempt, Cause: cause, Refusal: refusal, Events: s.receivedEvents}
	if s.receivedEvents > 0 {
		msg.Delivered, msg.LastEventAt = dispatch.DeliveredEvents, s.node.uptime()
	}
	s.node.world.after(networkDelay, func() { s.node.update(msg) })
}

// relayToOrigin passes events on to the node that has passed the request on.
func (s *session) relayToOrigin(events int) {
	first := s.receivedEvents-events == s.resumedFrom
	s.origin.receivedEvents = s.receivedEvents
	s.origin.reachedEngine = true
	if first {
		s.origin.node.update(dispatch.FirstEventMsg{Request: s.origin.id, Attempt: s.originAttempt})
	}
}

// completeAtOrigin ends a forwarded request at the node that passed it on.
func (s *session) completeAtOrigin(took clock.Millis) {
	s.origin.node.update(dispatch.AttemptDoneMsg{Request: s.origin.id, Attempt: s.originAttempt, Took: took})
	s.origin.finish()
}
