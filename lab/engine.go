package lab

import (
	"fmt"
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// engine is one run of an engine's process.
type engine struct {
	world       *world
	id          fleet.Incarnation
	address     string
	dataCentre  string
	accelerator catalog.Accelerator
	running     bool

	held fleet.LayerRange
	// orderActive tells that an order is being carried out, coming what it asks for, and loading that
	// its load has begun.
	orderActive  bool
	targetLayers fleet.LayerRange
	loading      bool

	// attempts are the streams that pass it, in the order in which they came, and begun how
	// many of them began here.
	attempts     []*attempt
	entryStreams int
	// usedMemory is memory taken by requests, in tokens times layers.
	usedMemory float64
	// prefillFreeAt is when the prompts that wait here have been read, in ms.
	prefillFreeAt float64

	// slowdown is how many times as long it works, refuses the part of requests that it turns
	// away, and asks for how long it wants rest then.
	slowdown     float64
	refusalShare float64
	backOff      clock.Millis
	// backOffs is what the judge needs of rests: until when each node was asked for rest.
	backOffs map[*node]backOffRequest
	// advertised is the limit that it names.
	advertised advertisedLimit
}

// backOffRequest is a rest that a node was asked for.
type backOffRequest struct {
	// boot is that of the node that was asked: one that has started anew is excused.
	boot        int
	from, until clock.Millis
	arrivals    int
}

func (w *world) newEngine(name, address, centre string, kind catalog.Accelerator) *engine {
	e := &engine{world: w, id: fleet.IncarnationByID(fleet.ID(name)), address: address, dataCentre: centre, accelerator: kind, running: true, slowdown: 1, backOffs: make(map[*node]backOffRequest)}
	w.engineAt[address] = e
	return e
}

// listEntry is what it says of itself in the list.
func (e *engine) listEntry() fleet.Upstream {
	return fleet.Upstream{
		ID: e.id, Service: serviceName, Address: e.address, DataCentre: e.dataCentre, Slots: e.world.scenario.Slots,
		Accelerator: e.accelerator.Name, Held: e.held,
	}
}

// requestMemory is its memory for requests, in tokens times layers. Layers that are being loaded take
// theirs at once.
func (e *engine) requestMemory() float64 {
	return e.world.pipeline.RequestMemory(e.accelerator, max(e.held.Len(), e.targetLayers.Len()))
}

// stepTime is the time of a token through some layers here, in ms: that of a step, which
// grows with the streams in the batch, and the longer the more prompts are read beside.
func (e *engine) stepTime(layers int, context float64) float64 {
	p := e.world.pipeline
	part := float64(layers) / float64(max(p.Layers, 1))
	batch := batchShare * float64(len(e.attempts))
	step := p.StepTime(e.accelerator, layers) + batch*(p.SequenceMS+p.ContextMS*context/tokensPerContextUnit)*e.accelerator.StepFactor*part
	waiting := max(e.prefillFreeAt-float64(e.world.now), 0)
	return step * e.slowdown * (1 + min(waiting/prefillDoublingMS, 1))
}

const (
	// batchShare is the part of the streams that pass an engine that are in its batch at a
	// time; the others are at other stages.
	batchShare = 0.5
	// tokensPerContextUnit converts the unit of context.
	tokensPerContextUnit = 1000
	// prefillDoublingMS is for how long prompts must wait, in ms, until steps take twice as long:
	// a pass reads a bounded number of tokens beside its steps.
	prefillDoublingMS = 200
)

// prefill queues tokens of a prompt that arrive at a time, and returns when they have been read.
func (e *engine) prefill(arrives float64, tokens float64, layers int) float64 {
	begins := max(arrives, e.prefillFreeAt)
	e.prefillFreeAt = begins + tokens*e.world.pipeline.ReadTime(e.accelerator, layers)*e.slowdown
	return e.prefillFreeAt
}

// refusesNew tells whether it refuses what begins here now.
func (e *engine) refusesNew() bool {
	return e.entryStreams >= e.world.scenario.Slots || e.refusalShare > 0 && e.world.eventRand.Float64() < e.refusalShare
}

func (e *engine) addAttempt(a *attempt, layers int, first bool) {
	e.attempts = append(e.attempts, a)
	e.usedMemory += a.reservedTokens * float64(layers)
	if first {
		e.entryStreams++
	}
}

func (e *engine) removeAttempt(a *attempt, layers int, first bool) {
	i := slices.Index(e.attempts, a)
	if i < 0 {
		return
	}
	e.attempts = slices.Delete(e.attempts, i, i+1)
	e.usedMemory -= a.reservedTokens * float64(layers)
	if first {
		e.entryStreams--
	}
	e.loadWhenDrained()
}

// status is its word on itself.
func (e *engine) status() dispatch.Report {
	r := dispatch.Report{Slowdown: e.slowdown}
	if !e.world.variant.NoMemoryReports {
		r.FreeMemory, r.TotalMemory = e.requestMemory()-e.usedMemory, e.requestMemory()
	}
	return r
}

// startOrder begins to carry out an order. Layers that it gives up take nothing new, and the load
// begins once what passes them has left.
func (e *engine) startOrder(layers fleet.LayerRange) {
	e.orderActive, e.targetLayers = true, layers
	e.held = e.held.Overlap(layers)
	e.world.list.publish(e)
	e.loadWhenDrained()
}

// loadWhenDrained begins the load of an order once nothing passes what is given up.
func (e *engine) loadWhenDrained() {
	if !e.orderActive || !e.running || e.loading || slices.ContainsFunc(e.attempts, func(a *attempt) bool { return a.usesRemovedLayers(e) }) {
		return
	}
	layers := e.targetLayers
	e.loading = true
	w := e.world
	w.activeLoads++
	slowed := max(1, float64(w.activeLoads)/float64(w.scenario.FullSpeedLoads))
	took := w.pipeline.LoadMS * float64(layers.Len()-e.held.Len()) / float64(max(w.pipeline.Layers, 1)) * slowed
	if w.now < 0 {
		// The first plan's loads are short.
		took /= 10
	}
	w.after(clock.Millis(math.Ceil(took)), func() {
		w.activeLoads--
		if e.running {
			e.held, e.targetLayers, e.orderActive, e.loading = layers, fleet.LayerRange{}, false, false
			w.list.publish(e)
		}
	})
}

// crash ends its process. What began here is broken off, what only passes stands still. Another
// one starts at its address after a time.
func (e *engine) crash(down clock.Millis) {
	if !e.running {
		return
	}
	w := e.world
	e.running = false
	w.result.EngineCrashes++
	for _, a := range slices.Clone(e.attempts) {
		if a.hops[0].engine == e {
			a.fail(dispatch.CauseUnknown, "")
		} else {
			a.stall(e)
		}
	}
	w.list.scheduleRemoval(e)
	w.after(down, func() {
		next := w.newEngine(fmt.Sprintf("%s'", e.id.ID()), e.address, e.dataCentre, e.accelerator)
		w.engines = append(w.engines, next)
		w.list.publish(next)
	})
}
