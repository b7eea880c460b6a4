package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// MaxKey is the longest key that a caller may send, in bytes.
const MaxKey = 256

// maxTickets is how many tickets a caller gets at once at the most.
const maxTickets = 256

// submit takes in a request: it is read, its key is settled, and it is
// admitted.
func (m *Model) submit(msg SubmitMsg) {
	m.stats.Submitted++
	r, reason := m.read(msg)
	if reason != ReasonNone {
		m.reject(msg, reason)
		return
	}
	if msg.Key == "" {
		m.admit(r)
		return
	}
	m.settleKey(r)
}

// read makes a request of a message, or says what is wrong with it.
func (m *Model) read(msg SubmitMsg) (*request, Reason) {
	if m.tracker.Version() == 0 {
		return nil, ReasonNotReady
	}
	if m.drain.closed(m.now) && !msg.Relayed {
		return nil, ReasonDraining
	}
	a := m.accounts[msg.KeyHash]
	if msg.Relayed {
		a = m.byName[msg.Account]
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
	if len(msg.Key) > MaxKey || msg.Priority < 0 || msg.Priority >= fairqueue.Priorities || msg.Deadline < 0 {
		return false
	}
	if rt.service() {
		return msg.Path != ""
	}
	return msg.Prompt != "" && msg.MaxTokens > 0 && msg.MaxTokens <= int(rt.config.GetMaxTokens())
}

func (m *Model) newRequest(a *account, rt *route, msg SubmitMsg) *request {
	r := &request{
		id:       msg.Caller,
		callers:  []uint64{msg.Caller},
		account:  a,
		route:    rt,
		spec:     msg,
		arrived:  m.now,
		priority: max(msg.Priority, int(a.config.GetPriority())),
	}
	wait := msg.Deadline
	if wait == 0 {
		wait = rt.usualDeadline(msg.MaxTokens)
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
	if reasons[reason].notRun != "" {
		f.Outcome = outcome.NotRun
		f.RetryAfter = rejectPause + m.jitter(rejectPause)
		if msg.Key != "" && !msg.FirstTry {
			f.Outcome = outcome.Unknown
		}
	}
	m.stats.count(f.Outcome, reason)
	m.do(&f)
}

// rejectPause is when to come back to a node that cannot serve yet, or no
// longer: the balancer will have chosen another by then.
const rejectPause clock.Millis = 500

// settleKey finds out whose key a request carries.
func (m *Model) settleKey(r *request) {
	name := keyName(r.account.config.GetName(), r.spec.Key)
	if known := m.keys[name]; known != nil {
		m.attach(r, known)
		return
	}
	k := &keyRecord{name: name, request: r, digest: digestOf(&r.spec)}
	r.key = k
	m.keys[name] = k
	if r.spec.Relayed {
		m.settleClaim(r, r.spec.Claim)
		return
	}
	t, isTicket := once.ParseTicket(r.spec.Key)
	if !isTicket {
		m.claim(r)
		return
	}
	if l := m.ledgers[t.Claim.Owner]; l != nil && !l.Verify(t, r.account.config.GetName()) {
		m.fail(r, ReasonBadRequest)
		return
	}
	m.settleClaim(r, t.Claim)
}

// settleClaim goes on with a request whose key is known to be a claim's.
func (m *Model) settleClaim(r *request, c once.Claim) {
	r.key.claim = c
	l := m.ledgers[c.Owner]
	if l == nil || m.drain.sealed {
		if r.spec.Relayed {
			m.refuse(r, ReasonOwnerGone, rejectPause)
			return
		}
		m.relay(r)
		return
	}
	r.key.ledger = l
	switch l.State(c.Sequence) {
	case once.Fresh:
		r.key.owned = true
		m.admit(r)
	case once.NeverIssued:
		m.fail(r, ReasonBadRequest)
	default:
		m.unknown(r, ReasonAnswerGone)
	}
}

// attach gives a caller that asks again the request that its key stands for:
// the rest of its answer, or its final word.
func (m *Model) attach(again *request, k *keyRecord) {
	m.drop(again)
	caller := again.spec.Caller
	r := k.request
	if k.digest != digestOf(&again.spec) {
		m.do(&FinishCmd{Caller: caller, Outcome: outcome.Failed, Reason: ReasonKeyReused})
		return
	}
	m.stats.Attached++
	if !again.spec.FirstTry {
		r.spec.FirstTry = false
	}
	if len(r.texts) > 0 {
		m.do(&EmitCmd{Callers: []uint64{caller}, Texts: r.texts})
	}
	if r.phase == phaseEnded {
		f := r.final
		f.Caller = caller
		m.do(&f)
		return
	}
	r.callers = append(r.callers, caller)
	m.byCaller[caller] = r
}

// drop forgets a request that turned out to be another's second try.
func (m *Model) drop(r *request) {
	delete(m.requests, r.id)
	delete(m.byCaller, r.spec.Caller)
	r.account.inProgress--
}

// cancel notes that a caller has hung up. A marked request runs on: its
// caller may ask for the answer with the same key.
func (m *Model) cancel(msg CancelMsg) {
	r := m.byCaller[msg.Caller]
	if r == nil {
		return
	}
	delete(m.byCaller, msg.Caller)
	r.dropCaller(msg.Caller)
	if len(r.callers) > 0 || (r.key != nil && r.begun) {
		return
	}
	m.stats.Canceled++
	if r.phase == phaseRelayed {
		// The owner goes on, and keeps the answer.
		m.end(r, FinishCmd{Outcome: outcome.Unknown, Reason: ReasonCanceled})
		return
	}
	m.end(r, FinishCmd{Outcome: canceledOutcome(r), Reason: ReasonCanceled})
}

func canceledOutcome(r *request) outcome.Outcome {
	if r.begun {
		return outcome.Failed
	}
	return outcome.NotRun
}

func (r *request) dropCaller(caller uint64) {
	kept := r.callers[:0]
	for _, c := range r.callers {
		if c != caller {
			kept = append(kept, c)
		}
	}
	r.callers = kept
}

// tickets issues tickets: keys that only this node will run.
func (m *Model) tickets(msg TicketsMsg) {
	a := m.accounts[msg.KeyHash]
	if a == nil {
		m.do(&FinishCmd{Caller: msg.Caller, Outcome: outcome.Failed, Reason: ReasonUnauthorized})
		return
	}
	if m.drain.started {
		m.do(&FinishCmd{Caller: msg.Caller, Outcome: outcome.NotRun, Reason: ReasonDraining, RetryAfter: rejectPause})
		return
	}
	n := min(max(msg.Count, 1), maxTickets)
	tickets := make([]string, 0, n)
	for range n {
		tickets = append(tickets, m.ledger.Issue(a.config.GetName()).String())
	}
	m.do(&TicketsCmd{Caller: msg.Caller, Tickets: tickets})
}
