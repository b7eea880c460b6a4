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

// engine is a simulated engine process; a restarted process is a new engine.
type engine struct {
	world       *world
	id          fleet.Incarnation
	address     string
	dataCentre  string
	accelerator catalog.Accelerator
	running     bool

	held fleet.LayerRange
	// orderActive reports whether a placement order is in progress, targetLayers are the layers
	// that the order asks for, and loading reports whether their load has begun.
	orderActive  bool
	targetLayers fleet.LayerRange
	loading      bool

	// attempts are the attempts whose chain includes this engine, in order of arrival.
	// entryStreams counts those whose chain begins here.
	attempts     []*attempt
	entryStreams int
	// usedMemory is the memory reserved by requests, in tokens times layers.
	usedMemory float64
	// prefillFreeAt is when all queued prompts will have been read, in ms.
	prefillFreeAt float64

	// slowdown is the factor on execution times, refusalShare the share of requests that are
	// refused although there is capacity, and backOff the back-off requested in a refusal.
	slowdown     float64
	refusalShare float64
	backOff      clock.Millis
	// backOffs are the back-off requests sent to each node, kept to check that nodes honour
	// them.
	backOffs map[*node]backOffRequest
	// advertised is the rate limit that the engine advertises.
	advertised advertisedLimit
}

// backOffRequest is a back-off that an engine has requested from a node.
type backOffRequest struct {
	// boot is the node's boot count. A restarted node need not honour the back-off.
	boot        int
	from, until clock.Millis
	arrivals    int
}

func (w *world) newEngine(name, address, dataCentre string, accelerator catalog.Accelerator) *engine {
	e := &engine{world: w, id: fleet.IncarnationByID(fleet.ID(name)), address: address, dataCentre: dataCentre, accelerator: accelerator, running: true, slowdown: 1, backOffs: make(map[*node]backOffRequest)}
	w.engineAt[address] = e
	return e
}

// listEntry returns the engine's entry in the engine list.
func (e *engine) listEntry() fleet.Upstream {
	return fleet.Upstream{
		ID: e.id, Service: serviceName, Address: e.address, DataCentre: e.dataCentre, Slots: e.world.scenario.Slots,
		Accelerator: e.accelerator.Name, Held: e.held,
	}
}

// requestMemory returns the memory for requests, in tokens times layers. Layers that are being
// loaded occupy their memory from the start of the load.
func (e *engine) requestMemory() float64 {
	return e.world.pipeline.RequestMemory(e.accelerator, max(e.held.Len(), e.targetLayers.Len()))
}

// stepTime returns the time of one token through some layers of this engine, in ms. It grows
// with the streams in the batch and with the prompts that wait to be read.
func (e *engine) stepTime(layers int, context float64) float64 {
	p := e.world.pipeline
	share := float64(layers) / float64(max(p.Layers, 1))
	batch := batchShare * float64(len(e.attempts))
	step := p.StepTime(e.accelerator, layers) + batch*(p.SequenceMS+p.ContextMS*context/tokensPerContextUnit)*e.accelerator.StepFactor*share
	backlog := max(e.prefillFreeAt-float64(e.world.now), 0)
	return step * e.slowdown * (1 + min(backlog/prefillDoublingMS, 1))
}

const (
	// batchShare is the mean share of an engine's streams that are in its batch at a time; the
	// others are at other stages.
	batchShare = 0.5
	// tokensPerContextUnit converts tokens to the unit of Pipeline.ContextMS.
	tokensPerContextUnit = 1000
	// prefillDoublingMS is the backlog of prompts, in ms, at which steps take twice as long: a
	// pass reads a bounded number of prompt tokens together with its steps.
	prefillDoublingMS = 200
)

// prefill queues prompt tokens that arrive at a time, and returns when they have been read.
func (e *engine) prefill(arrivesAt float64, tokens float64, layers int) float64 {
	beginsAt := max(arrivesAt, e.prefillFreeAt)
	e.prefillFreeAt = beginsAt + tokens*e.world.pipeline.ReadTime(e.accelerator, layers)*e.slowdown
	return e.prefillFreeAt
}

// refusesNew reports whether the engine refuses a stream that begins at it now.
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

// status returns the status that the engine reports to nodes.
func (e *engine) status() dispatch.Report {
	r := dispatch.Report{Slowdown: e.slowdown}
	if !e.world.variant.NoMemoryReports {
		r.FreeMemory, r.TotalMemory = e.requestMemory()-e.usedMemory, e.requestMemory()
	}
	return r
}

// startOrder starts a placement order. The engine accepts no new streams on layers that it
// drops, and loads the others when the streams that use dropped layers have left.
func (e *engine) startOrder(layers fleet.LayerRange) {
	e.orderActive, e.targetLayers = true, layers
	e.held = e.held.Overlap(layers)
	e.world.list.publish(e)
	e.loadWhenDrained()
}

// loadWhenDrained starts the load of an order once no stream uses the dropped layers.
func (e *engine) loadWhenDrained() {
	if !e.orderActive || !e.running || e.loading || slices.ContainsFunc(e.attempts, func(a *attempt) bool { return a.usesRemovedLayers(e) }) {
		return
	}
	layers := e.targetLayers
	e.loading = true
	w := e.world
	w.activeLoads++
	contention := max(1, float64(w.activeLoads)/float64(w.scenario.FullSpeedLoads))
	loadTime := w.pipeline.LoadMS * float64(layers.Len()-e.held.Len()) / float64(max(w.pipeline.Layers, 1)) * contention
	if w.now < 0 {
		// The loads of the initial placement are shortened, as they only prepare the run.
		loadTime /= 10
	}
	w.after(clock.Millis(math.Ceil(loadTime)), func() {
		w.activeLoads--
		if e.running {
			e.held, e.targetLayers, e.orderActive, e.loading = layers, fleet.LayerRange{}, false, false
			w.list.publish(e)
		}
	})
}

// crash ends the engine's process. Streams that begin at it fail, and streams that only pass
// through it stall. After the downtime a new engine starts at its address.
func (e *engine) crash(downtime clock.Millis) {
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
	w.after(downtime, func() {
		next := w.newEngine(fmt.Sprintf("%s'", e.id.ID()), e.address, e.dataCentre, e.accelerator)
		w.engines = append(w.engines, next)
		w.list.publish(next)
	})
}
