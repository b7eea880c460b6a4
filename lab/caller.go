package lab

import (
	"fmt"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/work"
)

// caller is one request of a caller, over all its tries.
type caller struct {
	world      *world
	number     int
	dataCentre string
	// workID names what is asked for, and deadly tells that it ends engines.
	workID         work.ID
	crashesEngines bool
	urgent         bool
	prompt         int
	// answerEvents is how long the answer is.
	answerEvents int

	// firstSentAt is when the first try came, and second in which second that was.
	firstSentAt clock.Millis
	deadline    clock.Millis
	tries       int
	retried     bool
	session     *session
	// lastProgressAt is when the last event came, or the last try began.
	lastProgressAt  clock.Millis
	firstEventAfter clock.Millis
	longestGap      clock.Millis
	finished        bool
}

// sendRequest has the caller ask a node of its data centre, another one with each try.
func (c *caller) sendRequest() {
	if c.finished {
		return
	}
	n := c.world.pickNode(c.dataCentre, c.number+c.tries)
	c.tries++
	c.lastProgressAt = c.world.now
	if n == nil {
		c.handleFailure("no node")
		return
	}
	n.lastRequestID++
	s := &session{node: n, id: n.lastRequestID, caller: c}
	c.session = s
	n.sessions[s.id] = s
	c.world.result.ClientAttempts++
	path := "/other/"
	if c.urgent {
		path = "/urgent/"
	}
	n.update(dispatch.ArriveMsg{
		Request: s.id, CallerID: fmt.Sprint(c.number, ".", c.tries), Work: c.workID, Host: host, Path: path + "a",
		Remaining: c.deadline.Sub(c.world.now), PromptTokens: c.prompt, AnswerTokens: c.answerEvents * c.world.scenario.Load.TokensPerEvent,
		HintTokens: c.answerEvents * c.world.scenario.Load.TokensPerEvent,
	})
}

// totalTokens is the memory that it takes at each layer, in tokens.
func (c *caller) totalTokens() float64 {
	return float64(c.prompt) + float64(c.answerEvents*c.world.scenario.Load.TokensPerEvent)
}

// recordEvents takes events in, with the longest pause before one of them.
func (c *caller) recordEvents(pause clock.Millis) {
	if c.firstEventAfter == 0 {
		c.firstEventAfter = max(c.world.now.Sub(c.firstSentAt), 1)
	} else {
		c.longestGap = max(c.longestGap, pause)
	}
	c.lastProgressAt = c.world.now
}

// handleRefusal has the caller come back when it is told to, if it has tries and time left.
func (c *caller) handleRefusal(reason dispatch.Reason, back clock.Millis) {
	if c.finished {
		return
	}
	c.session = nil
	if reason == dispatch.ReasonQuarantined && !c.crashesEngines {
		c.world.result.violate("innocent", "a request that ends nothing was refused as if it did")
	}
	if c.retried {
		c.world.result.RefusedRetries++
	}
	if c.world.variant.IgnoreRetryAfter {
		back = fixedRetryDelay
	}
	if c.tries > c.world.scenario.Load.MaxRetries || c.crashesEngines {
		c.finish(Refused, string(reason))
		return
	}
	c.retried = true
	c.world.after(max(min(back, c.deadline.Sub(c.world.now)/maxRetryDelayDivisor), 1), c.sendRequest)
}

const (
	// fixedRetryDelay is when callers come back that do not heed what they are told.
	fixedRetryDelay clock.Millis = 300
	// maxRetryDelayDivisor is the part of the time left, one in so many, up to which callers heed when
	// to come back.
	maxRetryDelayDivisor = 3
	// failureRetryDelay is when a caller tries again after a failure.
	failureRetryDelay clock.Millis = 20
)

// handleFailure has the caller try again at once, if it has tries left.
func (c *caller) handleFailure(why string) {
	if c.finished {
		return
	}
	c.session = nil
	if c.tries > c.world.scenario.Load.MaxRetries || c.crashesEngines {
		c.finish(Failed, why)
		return
	}
	c.world.after(failureRetryDelay, c.sendRequest)
}

// finishServed ends the request with its whole answer.
func (c *caller) finishServed() {
	l := c.world.scenario.Load
	if c.firstEventAfter <= l.FirstEventTargetMS && c.longestGap <= l.EventGapTargetMS {
		c.finish(InTime, "")
		return
	}
	c.finish(Late, "")
}

// timedOut tells whether the caller gives up now: it waits a bounded time for each event.
func (c *caller) timedOut(now clock.Millis) bool {
	l := c.world.scenario.Load
	return now >= c.deadline || c.session != nil && now.Sub(c.lastProgressAt) > max(minEventTimeout, firstEventTargetsInTimeout*l.FirstEventTargetMS, eventGapTargetsInTimeout*l.EventGapTargetMS)
}

// How long a caller waits for an event, in aims.
const (
	minEventTimeout            clock.Millis = 2000
	firstEventTargetsInTimeout clock.Millis = 4
	eventGapTargetsInTimeout   clock.Millis = 8
)

// abandon has the caller give up.
func (c *caller) abandon() {
	s := c.session
	c.finish(Failed, "left")
	if s != nil {
		s.abandon()
	}
}

func (c *caller) finish(o Outcome, why string) {
	c.finished = true
	c.session = nil
	c.world.result.add(c, o, why)
}
