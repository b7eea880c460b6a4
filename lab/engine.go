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
	world   *world
	id      fleet.Incarnation
	address string
	centre  string
	kind    catalog.Accelerator
	up      bool

	held fleet.LayerRange
	// busy tells that an order is being carried out, coming what it asks for, and loading that
	// its load has begun.
	busy    bool
	coming  fleet.LayerRange
	loading bool

	// passing are the streams that pass it, in the order in which they came, and begun how
	// many of them began here.
	passing []*attempt
	begun   int
	// used is memory taken by requests, in tokens times layers.
	used float64
	// readFree is when the prompts that wait here have been read, in ms.
	readFree float64

	// slow is how many times as long it works, refuses the part of requests that it turns
	// away, and asks for how long it wants rest then.
	slow    float64
	refuses float64
	asks    clock.Millis
	// told is what the judge needs of rests: until when each node was asked for rest.
	told map[*node]restAsked
	// need is the limit that it names.
	need need
}

// restAsked is a rest that a node was asked for.
type restAsked struct {
	// life is that of the node that was asked: one that has started anew is excused.
	life        int
	from, until clock.Millis
	count       int
}

func (w *world) newEngine(name, address, centre string, kind catalog.Accelerator) *engine {
	e := &engine{world: w, id: fleet.IncarnationByID(fleet.ID(name)), address: address, centre: centre, kind: kind, up: true, slow: 1, told: make(map[*node]restAsked)}
	w.at[address] = e
	return e
}

// entry is what it says of itself in the list.
func (e *engine) entry() fleet.Upstream {
	return fleet.Upstream{
		ID: e.id, Service: serviceName, Address: e.address, DataCentre: e.centre, Slots: e.world.scenario.Slots,
		Accelerator: e.kind.Name, Held: e.held,
	}
}

// room is its memory for requests, in tokens times layers. Layers that are being loaded take
// theirs at once.
func (e *engine) room() float64 {
	return e.world.pipeline.RequestMemory(e.kind, max(e.held.Len(), e.coming.Len()))
}

// stepTime is the time of a token through some layers here, in ms: that of a step, which
// grows with the streams in the batch, and the longer the more prompts are read beside.
func (e *engine) stepTime(layers int, context float64) float64 {
	p := e.world.pipeline
	part := float64(layers) / float64(max(p.Layers, 1))
	batch := inBatch * float64(len(e.passing))
	step := p.StepTime(e.kind, layers) + batch*(p.SequenceMS+p.ContextMS*context/tokensInK)*e.kind.StepFactor*part
	waiting := max(e.readFree-float64(e.world.now), 0)
	return step * e.slow * (1 + min(waiting/readsBeside, 1))
}

const (
	// inBatch is the part of the streams that pass an engine that are in its batch at a
	// time; the others are at other stages.
	inBatch = 0.5
	// tokensInK converts the unit of context.
	tokensInK = 1000
	// readsBeside is for how long prompts must wait, in ms, until steps take twice as long:
	// a pass reads a bounded number of tokens beside its steps.
	readsBeside = 200
)

// read queues tokens of a prompt that arrive at a time, and returns when they have been read.
func (e *engine) read(arrives float64, tokens float64, layers int) float64 {
	begins := max(arrives, e.readFree)
	e.readFree = begins + tokens*e.world.pipeline.ReadTime(e.kind, layers)*e.slow
	return e.readFree
}

// turnsAway tells whether it refuses what begins here now.
func (e *engine) turnsAway() bool {
	return e.begun >= e.world.scenario.Slots || e.refuses > 0 && e.world.random.Float64() < e.refuses
}

func (e *engine) take(a *attempt, layers int, first bool) {
	e.passing = append(e.passing, a)
	e.used += a.tokens * float64(layers)
	if first {
		e.begun++
	}
}

func (e *engine) release(a *attempt, layers int, first bool) {
	i := slices.Index(e.passing, a)
	if i < 0 {
		return
	}
	e.passing = slices.Delete(e.passing, i, i+1)
	e.used -= a.tokens * float64(layers)
	if first {
		e.begun--
	}
	e.goOn()
}

// report is its word on itself.
func (e *engine) report() dispatch.Report {
	r := dispatch.Report{Slowdown: e.slow}
	if !e.world.variant.NoReports {
		r.FreeMemory, r.TotalMemory = e.room()-e.used, e.room()
	}
	return r
}

// place begins to carry out an order. Layers that it gives up take nothing new, and the load
// begins once what passes them has left.
func (e *engine) place(layers fleet.LayerRange) {
	e.busy, e.coming = true, layers
	e.held = e.held.Overlap(layers)
	e.world.list.publish(e)
	e.goOn()
}

// goOn begins the load of an order once nothing passes what is given up.
func (e *engine) goOn() {
	if !e.busy || !e.up || e.loading || slices.ContainsFunc(e.passing, func(a *attempt) bool { return a.needs(e) }) {
		return
	}
	layers := e.coming
	e.loading = true
	w := e.world
	w.loads++
	slowed := max(1, float64(w.loads)/float64(w.scenario.LoadsAtOnce))
	took := w.pipeline.LoadMS * float64(layers.Len()-e.held.Len()) / float64(max(w.pipeline.Layers, 1)) * slowed
	if w.now < 0 {
		// The first plan's loads are short.
		took /= 10
	}
	w.after(clock.Millis(math.Ceil(took)), func() {
		w.loads--
		if e.up {
			e.held, e.coming, e.busy, e.loading = layers, fleet.LayerRange{}, false, false
			w.list.publish(e)
		}
	})
}

// end ends its process. What began here is broken off, what only passes stands still. Another
// one starts at its address after a time.
func (e *engine) end(down clock.Millis) {
	if !e.up {
		return
	}
	w := e.world
	e.up = false
	w.result.Ended++
	for _, a := range slices.Clone(e.passing) {
		if a.parts[0].engine == e {
			a.fail(dispatch.CauseUnknown, "")
		} else {
			a.standStill(e)
		}
	}
	w.list.lapse(e)
	w.after(down, func() {
		next := w.newEngine(fmt.Sprintf("%s'", e.id.ID()), e.address, e.centre, e.kind)
		w.engines = append(w.engines, next)
		w.list.publish(next)
	})
}
