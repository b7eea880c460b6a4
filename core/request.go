package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
)

// phase is how far a request has come.
type phase uint8

const (
	// phaseClaiming waits for the platform's table to say whose key it is.
	phaseClaiming phase = iota
	// phaseQueued waits for room at the upstreams.
	phaseQueued
	// phaseRunning has been sent to an upstream.
	phaseRunning
	// phaseResuming has lost an upstream and waits for room at others.
	phaseResuming
	// phaseRelayed is in the hands of the node that owns its key.
	phaseRelayed
	// phaseEnded has its final word.
	phaseEnded
)

// request is one request, from its arrival to its final word.
type request struct {
	id       uint64
	callers  []uint64
	account  *account
	route    *route
	spec     SubmitMsg
	key      *keyRecord
	phase    phase
	priority int

	arrivedAt    clock.Millis
	deadline     clock.Millis
	dispatchedAt clock.Millis

	// runningIndex is the request's place in Model.running.
	runningIndex int
	// begun is set once an upstream may have started on the request.
	begun bool
	// failed holds the upstreams that have failed this request.
	failed []*pool.Upstream

	// For a pipeline.
	generation   uint32
	chain        []*pool.Upstream
	stage        int
	step         *StepCmd
	positions    int
	sentAt       clock.Millis
	timeoutAt    clock.Millis
	tokens       []uint32
	texts        []string
	firstTokenAt clock.Millis
	lastTokenAt  clock.Millis
	lateTokens   int
	emit         EmitCmd

	// For a plain service.
	attempt uint32

	final FinishCmd
}

// noRepeat reports whether the request may not be repeated.
func (r *request) noRepeat() bool { return r.spec.NoRepeat || r.key != nil }

// mayHaveExecuted reports whether an earlier try with the same key may have run
// somewhere, for all that is known here.
func (r *request) mayHaveExecuted() bool {
	if r.key == nil || r.spec.FirstTry {
		return false
	}
	return !r.key.owned
}

// cost is the work that the request asks for, in tokens.
func (r *request) cost() float64 { return float64(max(r.spec.MaxTokens, 1)) }

// holdsSlots reports whether the request counts in its lane as running.
func (r *request) holdsSlots() bool { return len(r.chain) > 0 }
