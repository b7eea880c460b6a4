package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// EngineConfig sets the layers, speed and capacity of an Engine.
type EngineConfig struct {
	FirstLayer uint32
	LastLayer  uint32
	// Final is true if LastLayer is the last layer of the model.
	Final bool
	// The execution time of a batch is Base, plus PerStep for each step and
	// PerPosition for each position in the batch.
	Base        time.Duration
	PerStep     time.Duration
	PerPosition time.Duration
	// MaxBatch is the maximum number of steps in a batch.
	MaxBatch int
	// MaxGenerations is the maximum number of concurrent generations.
	MaxGenerations int
	// MaxCachedPrefixes is the maximum number of cached prompt prefix blocks;
	// zero disables the cache.
	MaxCachedPrefixes int
	// LoadSampleInterval is the minimum time between two measurements of the
	// reported load.
	LoadSampleInterval time.Duration
}

// DefaultEngineConfig returns the configuration of a small, fast engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		LastLayer: 3, Final: true, Base: time.Millisecond, PerStep: 50 * time.Microsecond,
		PerPosition: 5 * time.Microsecond, MaxBatch: 64, MaxGenerations: 512, MaxCachedPrefixes: 64,
		LoadSampleInterval: 200 * time.Millisecond,
	}
}

// Engine is a stand-in for a model engine that executes a range of layers
// with continuous batching.
type Engine struct {
	config EngineConfig
	faults EngineFaults

	mu          sync.Mutex
	sessions    map[sessionID]*session
	waiting     stepQueue
	wake        chan struct{}
	prefixes    prefixCache
	sampledLoad loadSample
	counts      EngineCounts
}

// EngineCounts holds the counters of an Engine since its start.
type EngineCounts struct {
	Steps           uint64 `json:"steps"`
	Positions       uint64 `json:"positions"`
	CachedPositions uint64 `json:"cached"`
	Gaps            uint64 `json:"gaps"`
	Fenced          uint64 `json:"fenced"`
	Duplicates      uint64 `json:"duplicates"`
	Admitted        uint64 `json:"admitted"`
}

// NewEngine returns an engine. Steps are executed only while Run runs.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{
		config:   c,
		sessions: make(map[sessionID]*session),
		wake:     make(chan struct{}, 1),
		prefixes: newPrefixCache(c.MaxCachedPrefixes),
	}
}

// Counts returns the engine's counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// SetFaults replaces the engine's injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Handler returns the HTTP handler of the engine's protocol, of fault
// injection at /faults and of the counters at /counts.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := wireconnect.NewEngineHandler(e)
	mux.Handle(path, handler)
	mux.Handle("POST /faults", jsonSetHandler(e.SetFaults))
	mux.Handle("GET /counts", jsonGetHandler(func() any { return e.Counts() }))
	return mux
}

// Run executes queued steps in batches until ctx is cancelled.
func (e *Engine) Run(ctx context.Context) error {
	for {
		batch := e.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-e.wake:
			}
			continue
		}
		e.runBatch(ctx, batch)
	}
}

// Steps receives the steps of one stream and sends their replies.
func (e *Engine) Steps(ctx context.Context, s *connect.BidiStream[wire.StepRequest, wire.StepReply]) error {
	replies := make(chan *wire.StepReply, 4096)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	// The stream is invalid after Steps returns, so wait for the sender.
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { sendReplies(ctx, cancel, s, replies) })
	sendReply := func(r *wire.StepReply) {
		select {
		case replies <- r:
		case <-ctx.Done():
		}
	}
	for {
		step, err := s.Receive()
		if err != nil {
			return nil
		}
		e.enqueue(step, sendReply)
	}
}

func sendReplies(ctx context.Context, cancel func(), s *connect.BidiStream[wire.StepRequest, wire.StepReply], replies <-chan *wire.StepReply) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-replies:
			if s.Send(r) != nil {
				cancel()
				return
			}
		}
	}
}
