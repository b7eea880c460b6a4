package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
)

// phase is the progress of a request.
type phase uint8

const (
	// phaseClaiming means that the request waits for the claim on its key from the platform's
	// table.
	phaseClaiming phase = iota
	// phaseQueued means that the request waits for free capacity at the upstreams.
	phaseQueued
	// phaseRunning means that the request has been sent to an upstream.
	phaseRunning
	// phaseResuming means that an upstream failed and the request waits for free capacity at
	// another.
	phaseResuming
	// phaseRelayed means that the request has been relayed to the owner of its key.
	phaseRelayed
	// phaseEnded means that the request has its result.
	phaseEnded
)

// request is the state of a request from its arrival to its result.
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

	// runningIndex is the request's index in Model.running.
	runningIndex int
	// begun is set when an upstream may have started to execute the request.
	begun bool
	// failed holds the upstreams that have failed this request.
	failed []*pool.Upstream

	// The fields from generation to emit are used for a pipeline. A plain service also uses chain,
	// sentAt, timeoutAt and firstTokenAt.
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

	// attempt counts the calls to a plain service.
	attempt uint32

	final FinishCmd
}

// noRepeat reports whether the request must not be executed twice.
func (r *request) noRepeat() bool { return r.spec.NoRepeat || r.key != nil }

// mayHaveExecuted reports whether an earlier try with the same key may have been executed at
// another node.
func (r *request) mayHaveExecuted() bool {
	if r.key == nil || r.spec.FirstTry {
		return false
	}
	return !r.key.owned
}

// cost returns the work of the request, in requested tokens.
func (r *request) cost() float64 { return float64(max(r.spec.MaxTokens, 1)) }

// holdsSlots reports whether the request holds upstream slots and counts as running in its lane.
func (r *request) holdsSlots() bool { return len(r.chain) > 0 }
