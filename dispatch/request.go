package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// request is a request in progress.
type request struct {
	arrival   ArriveMsg
	arrivedAt clock.Millis
	// receivedAt is when the node received the request; it is earlier than arrivedAt if the
	// request was deferred at the node's start.
	receivedAt clock.Millis
	// clientDeadline is when the client stops waiting. giveUp is when the route's timeout ends.
	clientDeadline clock.Millis
	giveUp         clock.Millis
	route          *catalog.Route
	service        *catalog.Service
	account        catalog.Account
	requiresKey    bool
	// admittance is the decision that the request may be executed, and decidedBy the configuration
	// by which the current attempt was decided.
	admittance admittance
	decidedBy  catalog.Edition
	// progress is where the request stands.
	progress progress
	// work identifies the content of the request together with its client account, and the parts
	// of its prompt.
	work work.Request
	// memoryTokens is the size for which memory is reserved, in tokens.
	memoryTokens float64
	// attempts counts the attempts, and executions those that may have been executed.
	attempts       int
	executions     int
	triedUpstreams map[fleet.Incarnation]bool
	// executedOn holds the executions by upstream. The operator bounds the number of upstreams,
	// not the number of executions on each.
	executedOn map[fleet.Incarnation]execution
	// executedElsewhere counts the upstreams that may have executed the request through other nodes.
	executedElsewhere int
	// forwardedUpstreams is on how many upstreams the node of the current attempt may have the request
	// executed; all count if that attempt fails, since this node does not learn on how many it was.
	forwardedUpstreams int
	// delivered is the part of the answer that the client has received, and deliveredEvents the
	// number of stream events in it.
	delivered       Delivered
	deliveredEvents int
	// waitReason is why a stream that has begun waits to be resumed, until waitUntil. It holds only
	// while the stream is interrupted.
	waitReason Reason
	waitUntil  clock.Millis
	// permitUpstream is the upstream for which the request waits for a permit, until
	// permitWaitUntil; both hold only while it is awaitingPermit. permitWaitExpired reports whether it no longer waits for any permit.
	permitUpstream    fleet.Incarnation
	permitWaitUntil   clock.Millis
	permitWaitExpired bool
	// position is the request's place in the queue in which it waits for a slot or for capacity.
	// waitedForSlot reports whether it has waited for a slot before.
	position      queuePosition
	waitedForSlot bool
	capacity      capacityWait
	// unsentAttempts counts the attempts that could not be sent to an upstream that has never answered
	// this node.
	unsentAttempts int
	// slotRefusals counts the attempts that found no slot. They are bounded by the request's time
	// and by the retry budget, not by maxAttempts.
	slotRefusals int
	// forwardedTo is the node to which the current attempt passes the request on; set only atNode.
	// askedNodes holds the nodes that were asked to serve it, nil for none, and nodeRefusals counts the attempts
	// that they did not execute, which maxAttempts does not bound.
	forwardedTo  string
	askedNodes   map[string]bool
	nodeRefusals int
	// trustsLinks reports whether doubtful links are used; set only while a path is chosen for which no
	// other node was found.
	trustsLinks bool
	// admissionDecision is the last decision of admission control on the request.
	admissionDecision admission.Decision
	// shareDecision is the last decision of fair shares on the request, and wasOverShare reports
	// whether one has held it back.
	shareDecision fairshare.Decision
	wasOverShare  bool
	// afterBackOff reports whether some of the upstreams on which a waiting stream can resume are
	// in back-off.
	afterBackOff bool

	// The current attempt, which was sent at sentAt with a prediction for its first event.
	// firstUpstream is set only atUpstream.
	sentAt              clock.Millis
	predictedFirstEvent clock.Millis
	firstUpstream       *upstream
	chain               []chain.Stage
	reservations        []reservation
	// awaitsFirstEvent reports whether the attempt was sent to engines and has no event yet.
	awaitsFirstEvent bool
	// migrating reports whether a migration is in progress, and migrations counts them.
	migrating  bool
	migrations int

	// lastEventAt is when the client received the last event of a stream, as of the last report of
	// its session, and streamedEvents the number of events until then.
	lastEventAt    clock.Millis
	streamedEvents int
	// migratesFrom is the engine that the next chain must avoid; set only while recoverStream builds
	// that chain. skipsBusyEngines reports whether the chain also avoids engines with too many moved
	// prompts.
	migratesFrom     fleet.Incarnation
	skipsBusyEngines bool
	// backlogEngines holds the engines to whose backlog the stream's last move added its tokens.
	backlogEngines []fleet.Incarnation
	// owesRetry reports whether the attempt for which the request waits in a queue is charged to the retry budget
	// when it begins: an attempt before has reached an upstream.
	owesRetry bool
	// hasUnsentRetry reports whether a retry was charged to the budget and is not sent yet, and
	// unsentRetry is that withdrawal.
	hasUnsentRetry bool
	unsentRetry    budget.Withdrawal
}

// upstreamAt returns the incarnation that the current attempt uses at an address. Another
// incarnation may have the address by now.
func (r *request) upstreamAt(address string) (fleet.Incarnation, bool) {
	if r.progress == atUpstream && r.firstUpstream.entry.Address == address {
		return r.firstUpstream.entry.ID, true
	}
	for _, p := range r.chain {
		if p.Address == address {
			return p.ID, true
		}
	}
	return fleet.Incarnation{}, false
}

// priority returns the priority of the client account if it has one, or else that of the route.
func (r *request) priority() int {
	if r.account.HasPriority {
		return r.account.Priority
	}
	return r.route.Priority
}

// answerBegun reports whether the client has received a part of the answer.
func (r *request) answerBegun() bool { return r.delivered != DeliveredNothing }

// reservation is memory that a request reserves at an engine. promptTokens is the number of tokens
// that the engine must read before the first event; zero after it.
type reservation struct {
	upstream     *upstream
	amount       float64
	promptTokens float64
}

// reservationAt returns the request's reservation at an upstream; zero if there is none.
func (r *request) reservationAt(u *upstream) reservation {
	for _, h := range r.reservations {
		if h.upstream == u {
			return h
		}
	}
	return reservation{}
}

// timeLeft returns the time until the request must be answered.
func (r *request) timeLeft(now clock.Millis) clock.Millis {
	return min(r.clientDeadline, r.giveUp).Sub(now)
}

// vmResumed makes all requests reset their timers after a suspension of the VM.
func (m *Model) vmResumed() []Cmd {
	m.retryLoans.Reset(m.now)
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		cmds = append(cmds, RecheckDeadlineCmd{Request: id, Deadline: min(r.clientDeadline, r.giveUp)})
	}
	return cmds
}

// reserve reserves memory at all engines of a chain, in place of the former reservations.
func (m *Model) reserve(r *request, parts []chain.Stage) {
	m.release(r)
	r.chain = parts
	promptTokens := 0.0
	if r.awaitsFirstEvent {
		promptTokens = r.unreadTokens()
	}
	for _, p := range parts {
		u := m.upstreams[p.ID]
		if u == nil {
			continue
		}
		amount := r.memoryTokens * float64(p.Layers.Len())
		u.reserved += amount
		u.promptTokens += promptTokens
		r.reservations = append(r.reservations, reservation{upstream: u, amount: amount, promptTokens: promptTokens})
	}
}

func (m *Model) release(r *request) {
	for _, h := range r.reservations {
		h.upstream.reserved -= h.amount
		h.upstream.promptTokens -= h.promptTokens
	}
	r.reservations = r.reservations[:0]
	r.chain = nil
}

// endAttempt releases the resources of the current attempt, if there is one.
func (m *Model) endAttempt(r *request) {
	switch r.progress {
	case atUpstream:
		r.firstUpstream.inFlight--
	case atNode:
		m.nodes.RecordEnded(r.forwardedTo)
	case undecided, queued, awaitingPermit, interrupted, awaitingTurn, ended:
		return
	}
	m.release(r)
	r.progress, r.firstUpstream, r.forwardedTo = undecided, nil, ""
	r.migrating, r.awaitsFirstEvent = false, false
}

func (m *Model) dropRequest(id RequestID) {
	r := m.requests[id]
	if r == nil {
		return
	}
	m.endAttempt(r)
	r.dequeue()
	r.progress = ended
	if r.arrival.Forwarded != nil {
		m.forwardedRequests--
	}
	if r.hasUnsentRetry {
		m.budget(r.service.Name).Return(m.now, r.unsentRetry)
	}
	delete(m.requests, id)
}
