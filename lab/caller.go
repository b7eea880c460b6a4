package lab

import (
	"fmt"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/work"
)

// caller is one request of a caller, over all its tries.
type caller struct {
	world  *world
	number int
	centre string
	// asked names what is asked for, and deadly tells that it ends engines.
	asked  work.ID
	deadly bool
	urgent bool
	prompt int
	// events is how long the answer is.
	events int

	// sent is when the first try came, and second in which second that was.
	sent     clock.Millis
	deadline clock.Millis
	tries    int
	returned bool
	session  *session
	// progress is when the last event came, or the last try began.
	progress clock.Millis
	first    clock.Millis
	pause    clock.Millis
	over     bool
}

// arrive has the caller ask a node of its data centre, another one with each try.
func (c *caller) arrive() {
	if c.over {
		return
	}
	n := c.world.nodeFor(c.centre, c.number+c.tries)
	c.tries++
	c.progress = c.world.now
	if n == nil {
		c.failed("no node")
		return
	}
	n.next++
	s := &session{node: n, id: n.next, caller: c}
	c.session = s
	n.sessions[s.id] = s
	c.world.result.Tries++
	path := "/other/"
	if c.urgent {
		path = "/urgent/"
	}
	n.tell(dispatch.ArriveMsg{
		Request: s.id, CallerID: fmt.Sprint(c.number, ".", c.tries), Work: c.asked, Host: host, Path: path + "a",
		Remaining: c.deadline.Sub(c.world.now), PromptTokens: c.prompt, AnswerTokens: c.events * c.world.scenario.Load.EventTokens,
		HintTokens: c.events * c.world.scenario.Load.EventTokens,
	})
}

// tokens is the memory that it takes at each layer, in tokens.
func (c *caller) tokens() float64 {
	return float64(c.prompt) + float64(c.events*c.world.scenario.Load.EventTokens)
}

// hears takes events in, with the longest pause before one of them.
func (c *caller) hears(pause clock.Millis) {
	if c.first == 0 {
		c.first = max(c.world.now.Sub(c.sent), 1)
	} else {
		c.pause = max(c.pause, pause)
	}
	c.progress = c.world.now
}

// refused has the caller come back when it is told to, if it has tries and time left.
func (c *caller) refused(reason dispatch.Reason, back clock.Millis) {
	if c.over {
		return
	}
	c.session = nil
	if reason == dispatch.ReasonQuarantined && !c.deadly {
		c.world.result.breach("innocent", "a request that ends nothing was refused as if it did")
	}
	if c.returned {
		c.world.result.RefusedAgain++
	}
	if c.world.variant.NoReturnTime {
		back = fixedReturn
	}
	if c.tries > c.world.scenario.Load.Returns || c.deadly {
		c.end(Refused, string(reason))
		return
	}
	c.returned = true
	c.world.after(max(min(back, c.deadline.Sub(c.world.now)/heededPart), 1), c.arrive)
}

const (
	// fixedReturn is when callers come back that do not heed what they are told.
	fixedReturn clock.Millis = 300
	// heededPart is the part of the time left, one in so many, up to which callers heed when
	// to come back.
	heededPart = 3
	// retriesIn is when a caller tries again after a failure.
	retriesIn clock.Millis = 20
)

// failed has the caller try again at once, if it has tries left.
func (c *caller) failed(why string) {
	if c.over {
		return
	}
	c.session = nil
	if c.tries > c.world.scenario.Load.Returns || c.deadly {
		c.end(Failed, why)
		return
	}
	c.world.after(retriesIn, c.arrive)
}

// served ends the request with its whole answer.
func (c *caller) served() {
	l := c.world.scenario.Load
	if c.first <= l.AimMS && c.pause <= l.GapMS {
		c.end(InTime, "")
		return
	}
	c.end(Late, "")
}

// left tells whether the caller gives up now: it waits a bounded time for each event.
func (c *caller) left(now clock.Millis) bool {
	l := c.world.scenario.Load
	return now >= c.deadline || c.session != nil && now.Sub(c.progress) > max(leastPatience, aimsOfPatience*l.AimMS, gapsOfPatience*l.GapMS)
}

// How long a caller waits for an event, in aims.
const (
	leastPatience  clock.Millis = 2000
	aimsOfPatience clock.Millis = 4
	gapsOfPatience clock.Millis = 8
)

// leave has the caller give up.
func (c *caller) leave() {
	s := c.session
	c.end(Failed, "left")
	if s != nil {
		s.leave()
	}
}

func (c *caller) end(o Outcome, why string) {
	c.over = true
	c.session = nil
	c.world.result.add(c, o, why)
}
