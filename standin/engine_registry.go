package standin

import (
	"net/http"
	"sync"
	"time"
)

// EngineRegistry holds the engines of a process by address. Its engines execute
// chains without HTTP requests, because thousands of events per second would
// cost as many requests for each stage.
type EngineRegistry struct {
	mu      sync.Mutex
	engines map[string]*ChainEngine
}

// NewEngineRegistry returns an empty registry.
func NewEngineRegistry() *EngineRegistry {
	return &EngineRegistry{engines: make(map[string]*ChainEngine)}
}

// NewEngine returns a new engine and adds it to the registry.
func (r *EngineRegistry) NewEngine(id, address string, model *PipelineModel, opts ...ServerOption) *ChainEngine {
	e := NewChainEngine(id, address, opts...)
	e.model, e.registry = model, r
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[address] = e
	return e
}

// Remove removes a stopped engine, unless its address belongs to another engine
// by now.
func (r *EngineRegistry) Remove(e *ChainEngine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.engines[e.ownAddress] == e {
		delete(r.engines, e.ownAddress)
	}
}

// engineAt returns the engine at an address, or nil.
func (r *EngineRegistry) engineAt(address string) *ChainEngine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[address]
}

// SetSlowdown sets the factor that multiplies the engine's execution times.
// Factors below 1 count as 1.
func (e *ChainEngine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// memoryUsed returns the memory that streams use, in tokens times layers. The
// caller holds the lock.
func (e *ChainEngine) memoryUsed() float64 {
	if e.registry == nil {
		return streamMemory * float64(len(e.streams))
	}
	return e.usedMemory
}

// stageEngine returns the engine of a stage from the registry, or nil.
func (e *ChainEngine) stageEngine(p chainStage) *ChainEngine {
	if e.registry == nil {
		return nil
	}
	return e.registry.engineAt(p.address)
}

// reserve reserves the memory of a stream on all stages of its chain. If a stage's
// engine is gone or has no free memory, or the first has no free slot, it
// reserves nothing and returns the address of that stage. On success it returns
// the empty string.
func (e *ChainEngine) reserve(r *http.Request, stages []chainStage) string {
	if e.registry == nil {
		return ""
	}
	for i, p := range stages {
		if other := e.stageEngine(p); other == nil || !other.reserveStage(r, p, i == 0) {
			e.release(r, stages[:i])
			return p.address
		}
	}
	return ""
}

// reserveStage reserves the memory of one stage of a stream, and reports whether
// it was free. The first stage also needs a free slot.
func (e *ChainEngine) reserveStage(r *http.Request, p chainStage, first bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	amount := e.model.streamTokens(r) * float64(p.layers.Len())
	if first && len(e.streams) >= e.model.slots() || e.usedMemory+amount > e.model.streamCapacity(e.heldLayers.Len()) {
		return false
	}
	e.usedMemory += amount
	e.passingStreams++
	return true
}

// release frees the memory that a stream reserved on its stages.
func (e *ChainEngine) release(r *http.Request, stages []chainStage) {
	for _, p := range stages {
		other := e.stageEngine(p)
		if other == nil {
			continue
		}
		other.mu.Lock()
		other.usedMemory = max(0, other.usedMemory-other.model.streamTokens(r)*float64(p.layers.Len()))
		other.passingStreams = max(0, other.passingStreams-1)
		other.mu.Unlock()
	}
}

// promptTime returns the time to process the prompt of a stream on all stages.
func (e *ChainEngine) promptTime(r *http.Request, stream *engineStream) time.Duration {
	return e.chainTime(stream, func(engine *ChainEngine, layers int) time.Duration { return engine.model.promptTime(r, layers) })
}

// eventTime returns the time to execute an event on all stages.
func (e *ChainEngine) eventTime(stream *engineStream) time.Duration {
	return e.chainTime(stream, func(engine *ChainEngine, layers int) time.Duration {
		return engine.model.eventTime(layers, engine.passingStreams)
	})
}

// chainTime returns the sum of the times of a stream's stages. The time of a
// stage whose engine is gone is computed as if it were on this engine, because
// the stream detects the loss only when it executes the event.
func (e *ChainEngine) chainTime(stream *engineStream, of func(engine *ChainEngine, layers int) time.Duration) time.Duration {
	e.mu.Lock()
	stages := stream.stages
	e.mu.Unlock()
	total := time.Duration(0)
	for _, p := range stages {
		engine := e.stageEngine(p)
		if engine == nil {
			engine = e
		}
		engine.mu.Lock()
		total += time.Duration(float64(of(engine, p.layers.Len())) * max(engine.slowdown, 1))
		engine.mu.Unlock()
	}
	return total
}

// FreeMemory returns the layers that the engine holds, and its free memory in
// tokens on each of them. The free memory is zero if no slot is free.
func (e *ChainEngine) FreeMemory() (from, to int, tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) < e.model.slots() && !e.heldLayers.Empty() {
		tokens = (e.model.streamCapacity(e.heldLayers.Len()) - e.usedMemory) / float64(e.heldLayers.Len())
	}
	return e.heldLayers.From, e.heldLayers.To, tokens
}
