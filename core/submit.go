package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// MaxKeyBytes bounds the length of a key that a client may send.
const MaxKeyBytes = 256

// submit handles a new request. A request with a key is admitted after the owner of the key is
// known.
func (m *Model) submit(msg SubmitMsg) {
	m.stats.Submitted++
	r, reason := m.acceptRequest(msg)
	if reason != ReasonNone {
		m.reject(msg, reason)
		return
	}
	if msg.Key == "" {
		m.admit(r)
		return
	}
	m.resolveKey(r)
}

// acceptRequest validates a message and returns the new request, or the reason for rejecting the
// message.
func (m *Model) acceptRequest(msg SubmitMsg) (*request, Reason) {
	if m.tracker.Version() == 0 {
		return nil, ReasonNotReady
	}
	if m.drain.refusesNew(m.now) && !msg.Relayed || m.drain.exited {
		return nil, ReasonDraining
	}
	a := m.accounts[msg.KeyHash]
	if msg.Relayed {
		a = m.accountsByName[msg.Account]
	}
	if a == nil {
		return nil, ReasonUnauthorized
	}
	rt := m.routes[msg.Route]
	if rt == nil {
		return nil, ReasonNoRoute
	}
	if !wellFormed(rt, &msg) {
		return nil, ReasonBadRequest
	}
	return m.newRequest(a, rt, msg), ReasonNone
}

func wellFormed(rt *route, msg *SubmitMsg) bool {
	if len(msg.Key) > MaxKeyBytes || msg.Priority < 0 || msg.Priority >= fairqueue.Priorities || msg.Deadline < 0 {
		return false
	}
	if rt.isService() {
		return msg.Path != ""
	}
	return msg.Prompt != "" && msg.MaxTokens > 0 && msg.MaxTokens <= int(rt.config.GetMaxTokens())
}

func (m *Model) newRequest(a *account, rt *route, msg SubmitMsg) *request {
	r := &request{
		id:        msg.Caller,
		callers:   []uint64{msg.Caller},
		account:   a,
		route:     rt,
		spec:      msg,
		arrivedAt: m.now,
		priority:  max(msg.Priority, int(a.config.GetPriority())),
	}
	timeout := msg.Deadline
	if timeout == 0 {
		timeout = rt.defaultDeadline(msg.MaxTokens)
	}
	r.deadline = m.now.Add(timeout)
	m.requests[r.id] = r
	m.byCaller[msg.Caller] = r
	a.inProgress++
	return r
}

// reject answers a message that did not pass validation. Nothing of it was executed at this node,
// but an earlier try with the same key may have been executed.
func (m *Model) reject(msg SubmitMsg, reason Reason) {
	f := FinishCmd{Caller: msg.Caller, Outcome: outcome.Failed, Reason: reason}
	if reasons[reason].notExecuted != "" {
		f.Outcome = outcome.NotExecuted
		f.RetryAfter = rejectRetryAfter + m.jitter(rejectRetryAfter)
		if msg.Key != "" && !msg.FirstTry {
			f.Outcome = outcome.Unknown
		}
	}
	m.stats.count(f.Outcome, reason)
	m.addCmd(&f)
}

// rejectRetryAfter is the retry delay for clients of a node that is starting or stopping. The load
// balancer will have chosen another node by then.
const rejectRetryAfter clock.Millis = 500
