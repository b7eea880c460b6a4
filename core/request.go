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

	arrived    clock.Millis
	deadline   clock.Millis
	dispatched clock.Millis

	// slot is the request's place in Model.running.
	slot int
	// begun is set once an upstream may have started on the request.
	begun bool
	// tried holds the upstreams that have failed this request.
	tried []*pool.Upstream

	// For a pipeline.
	generation uint32
	chain      []*pool.Upstream
	stage      int
	step       *StepCmd
	span       int
	sentAt     clock.Millis
	limitAt    clock.Millis
	tokens     []uint32
	texts      []string
	firstAt    clock.Millis
	lastAt     clock.Millis
	late       int
	emit       EmitCmd

	// For a plain service.
	attempt uint32

	final FinishCmd
}

// marked reports whether the request may not be repeated.
func (r *request) marked() bool { return r.spec.NoRepeat || r.key != nil }

// ambiguous reports whether an earlier try with the same key may have run
// somewhere, for all that is known here.
func (r *request) ambiguous() bool {
	if r.key == nil || r.spec.FirstTry {
		return false
	}
	return !r.key.owned
}

// cost is the work that the request asks for, in tokens.
func (r *request) cost() float64 { return float64(max(r.spec.MaxTokens, 1)) }

// holds reports whether the request counts in its lane as running.
func (r *request) holds() bool { return len(r.chain) > 0 }
