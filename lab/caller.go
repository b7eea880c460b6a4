package lab

import (
	"fmt"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/work"
)

// caller is a client's request with all its tries.
type caller struct {
	world      *world
	number     int
	dataCentre string
	// workID identifies the work of the request, and parts are the parts of its prompt that other
	// requests share. crashFault is the fault by which the request crashes the engines that execute
	// it, nil for none.
	workID     work.ID
	parts      []work.ID
	crashFault *crashFault
	urgent     bool
	prompt     int
	// answerEvents is the length of the answer in events.
	answerEvents int

	// firstSentAt is when the first try was sent.
	firstSentAt clock.Millis
	deadline    clock.Millis
	tries       int
	retried     bool
	session     *session
	// lastProgressAt is when the last event arrived, or when the current try was sent.
	lastProgressAt  clock.Millis
	firstEventAfter clock.Millis
	longestGap      clock.Millis
	finished        bool
	// firstAtCutNode reports whether the first try was sent to a node that was cut from all engines.
	firstAtCutNode bool
	// firstAtFavoured reports whether the first try was read by a favoured node that had been one for
	// favouredGrace.
	firstAtFavoured bool
}

// sendRequest sends the request to a node, unless that node leaves the connection unread.
func (c *caller) sendRequest() {
	if c.finished {
		return
	}
	n := c.chooseNode()
	c.tries++
	c.lastProgressAt = c.world.now
	if n == nil {
		c.handleFailure("no node")
		return
	}
	if !c.world.variant.NoConnectionLimit && !n.limiter.Admit(c.world.now) {
		c.firstAtFavoured = false
		c.world.result.LeftUnread++
		c.handleFailure("left unread")
		return
	}
	c.firstAtCutNode = c.firstAtCutNode || c.tries == 1 && n.cutOff()
	c.beginTry(n)
}

// chooseNode returns a node of the caller's data centre, a different one for each try, or for the first
// try the favoured node; nil if none is running.
func (c *caller) chooseNode() *node {
	n := c.world.pickNode(c.dataCentre, c.number+c.tries)
	if c.tries == 0 {
		return c.world.preferFavoured(c, n)
	}
	return n
}

// beginTry lets a node read the request, as soon as its processor comes to it.
func (c *caller) beginTry(n *node) {
	n.lastRequestID++
	s := &session{node: n, id: n.lastRequestID, caller: c}
	c.session = s
	n.sessions[s.id] = s
	c.world.result.ClientAttempts++
	arrive := func() {
		if !s.ended && c.session == s {
			n.update(c.arrival(s.id, nil))
		}
	}
	if delay := n.processor.run(c.world.now, c.world.scenario.Nodes.RequestWorkMS); delay > 0 {
		c.world.after(delay, arrive)
		return
	}
	arrive()
}

// arrival returns the message with which the request reaches a node, from the caller or, if forwarded is
// not nil, from another node.
func (c *caller) arrival(id dispatch.RequestID, forwarded *dispatch.Forwarded) dispatch.ArriveMsg {
	tokens := c.answerEvents * c.world.scenario.Load.TokensPerEvent
	return dispatch.ArriveMsg{
		Request: id, CallerID: fmt.Sprint(c.number, ".", c.tries), Work: c.workID, Host: host, Path: c.path(),
		Remaining: c.deadline.Sub(c.world.now), PromptTokens: c.prompt, AnswerTokens: tokens, HintTokens: tokens,
		PromptParts: c.parts, Forwarded: forwarded,
	}
}

// path returns the path of the request, which depends on its priority.
func (c *caller) path() string {
	if c.urgent {
		return "/urgent/a"
	}
	return "/other/a"
}

// totalTokens returns the memory that the request needs in each layer, in tokens.
func (c *caller) totalTokens() float64 {
	return float64(c.prompt) + float64(c.answerEvents*c.world.scenario.Load.TokensPerEvent)
}

// recordEvents records received events and the longest gap before one of them.
func (c *caller) recordEvents(gap clock.Millis) {
	if c.firstEventAfter == 0 {
		c.firstEventAfter = max(c.world.now.Sub(c.firstSentAt), 1)
	} else {
		c.longestGap = max(c.longestGap, gap)
	}
	c.lastProgressAt = c.world.now
}

// handleRefusal retries after the delay that the node asked for, if tries and time are left.
func (c *caller) handleRefusal(reason dispatch.Reason, retryAfter clock.Millis) {
	if c.finished {
		return
	}
	c.session = nil
	if reason == dispatch.ReasonQuarantined && c.crashFault == nil {
		c.world.result.violate("innocent", "request that crashes no engine was refused as quarantined")
	}
	if c.retried {
		c.world.result.RefusedRetries++
	}
	if c.world.variant.IgnoreRetryAfter {
		retryAfter = fixedRetryDelay
	}
	if c.tries > c.world.scenario.Load.MaxRetries || c.crashFault != nil {
		c.finish(Refused, string(reason))
		return
	}
	c.retried = true
	c.world.after(max(min(retryAfter, c.deadline.Sub(c.world.now)/maxRetryDelayDivisor), 1), c.sendRequest)
}

const (
	// fixedRetryDelay is the delay before a retry of callers that ignore Retry-After.
	fixedRetryDelay clock.Millis = 300
	// The delay before a retry is at most the remaining time divided by maxRetryDelayDivisor.
	maxRetryDelayDivisor = 3
	// failureRetryDelay is the delay before a retry after a failure.
	failureRetryDelay clock.Millis = 20
)

// handleFailure retries after failureRetryDelay if tries are left.
func (c *caller) handleFailure(cause string) {
	if c.finished {
		return
	}
	c.session = nil
	if c.tries > c.world.scenario.Load.MaxRetries || c.crashFault != nil {
		c.finish(Failed, cause)
		return
	}
	c.world.after(failureRetryDelay, c.sendRequest)
}

// finishServed ends the request after its complete answer.
func (c *caller) finishServed() {
	l := c.world.scenario.Load
	if c.firstEventAfter <= l.FirstEventTargetMS && c.longestGap <= l.EventGapTargetMS {
		c.finish(InTime, "")
		return
	}
	c.finish(Late, "")
}

// timedOut reports whether the deadline has passed or the next event is overdue.
func (c *caller) timedOut(now clock.Millis) bool {
	l := c.world.scenario.Load
	return now >= c.deadline || c.session != nil && now.Sub(c.lastProgressAt) > max(minEventTimeout, firstEventTargetsInTimeout*l.FirstEventTargetMS, eventGapTargetsInTimeout*l.EventGapTargetMS)
}

// Bounds of the wait for an event: the minimum, and multiples of the latency targets.
const (
	minEventTimeout            clock.Millis = 2000
	firstEventTargetsInTimeout clock.Millis = 4
	eventGapTargetsInTimeout   clock.Millis = 8
)

// abandon ends the request because the caller has stopped waiting.
func (c *caller) abandon() {
	s := c.session
	c.finish(Failed, "left")
	if s != nil {
		s.abandon()
	}
}

func (c *caller) finish(o Outcome, cause string) {
	c.finished = true
	c.session = nil
	c.world.result.add(c, o, cause)
}
