package dispatch

// progress is where a request stands. It alone tells whether a request has left this node and
// whether an attempt can still be answered: an upstream, a chain, a queue or a count of attempts
// that a request lacks tells neither, since a request that is passed on to another node has none
// of them. Only the functions named below change it.
//
//	from            to              changed by
//	undecided       queued          enqueue, for a slot or for capacity
//	undecided       awaitingPermit  awaitPermit
//	undecided       interrupted     waitOrAbort, for a stream that has begun
//	undecided       awaitingTurn    awaitResume, for a stream that has begun
//	queued          undecided       dequeue
//	queued          awaitingPermit  awaitPermit, by way of dequeue
//	awaitingPermit  undecided       resumePermitWaiters
//	interrupted     undecided       resumeStreams
//	awaitingTurn    undecided       resumeRecovered
//	undecided       atUpstream      beginAttempt
//	undecided       atNode          beginAttempt
//	queued          either          beginAttempt, by way of dequeue
//	either          undecided       endAttempt
//	any             ended           dropRequest
type progress uint8

const (
	// undecided means that the request is being decided on. It stands there within one Update only.
	undecided progress = iota
	// queued means that it waits in the queue of its position. It stays there while it is tried, so
	// that it keeps its place if it must wait on.
	queued
	// awaitingPermit means that it waits for a permit of permitUpstream.
	awaitingPermit
	// interrupted means that it is a begun stream without an attempt, which waits for waitReason.
	interrupted
	// awaitingTurn means that it is a begun stream without an attempt, which waits in recoveries.
	awaitingTurn
	// atUpstream means that its current attempt was sent to firstUpstream.
	atUpstream
	// atNode means that its current attempt was passed on to forwardedTo.
	atNode
	// ended means that it was answered, refused or aborted, or that its client has left.
	ended
)

// hasLeft reports whether the request has left this node: an attempt is in progress, here or at
// another node, and may be executed.
func (r *request) hasLeft() bool { return r.progress == atUpstream || r.progress == atNode }

// waits reports whether the request waits in a queue.
func (r *request) waits() bool { return r.progress == queued }

// sentOrAwaitsPermit reports whether the decision to send the request stands: it was sent or is sent
// once there is a permit.
func (r *request) sentOrAwaitsPermit() bool { return r.hasLeft() || r.progress == awaitingPermit }

// mayBeSent reports whether an attempt may begin.
func (r *request) mayBeSent() bool { return r.progress == undecided || r.progress == queued }

// inAttempt returns the request whose attempt of a number is in progress; nil if there is none. What
// a session reports of another attempt has been decided on already.
func (m *Model) inAttempt(id RequestID, attempt int) *request {
	r := m.requests[id]
	if r == nil || !r.hasLeft() || r.attempts != attempt {
		return nil
	}
	return r
}
