package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// MaxKeyBytes is the longest key that a caller may send, in bytes.
const MaxKeyBytes = 256

// submit takes in a request: it is read, its key is settled, and it is
// admitted.
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

// acceptRequest makes a request of a message, or says what is wrong with it.
func (m *Model) acceptRequest(msg SubmitMsg) (*request, Reason) {
	if m.tracker.Version() == 0 {
		return nil, ReasonNotReady
	}
	if m.drain.refusesNew(m.now) && !msg.Relayed {
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
	wait := msg.Deadline
	if wait == 0 {
		wait = rt.defaultDeadline(msg.MaxTokens)
	}
	r.deadline = m.now.Add(wait)
	m.requests[r.id] = r
	m.byCaller[msg.Caller] = r
	a.inProgress++
	return r
}

// reject answers a request that could not be read. Nothing of it has run
// here; what an earlier try did is not known.
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

// rejectRetryAfter is when to come back to a node that cannot serve yet, or no
// longer: the balancer will have chosen another by then.
const rejectRetryAfter clock.Millis = 500
