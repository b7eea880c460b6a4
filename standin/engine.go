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

// EngineConfig says what an engine holds and how fast it is.
type EngineConfig struct {
	FirstLayer uint32
	LastLayer  uint32
	// Final is set on the engine that holds the model's last layer.
	Final bool
	// A batch takes Base, plus PerStep for each step in it, plus PerPosition
	// for each position.
	Base        time.Duration
	PerStep     time.Duration
	PerPosition time.Duration
	// MaxBatch bounds the steps of a batch.
	MaxBatch int
	// MaxGenerations bounds the generations held.
	MaxGenerations int
	// MaxCachedPrefixes bounds the prompt prefixes whose cost is remembered.
	MaxCachedPrefixes int
	// LoadSampleInterval is how old the reported load is.
	LoadSampleInterval time.Duration
}

// DefaultEngineConfig returns a small, fast engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		LastLayer: 3, Final: true, Base: time.Millisecond, PerStep: 50 * time.Microsecond,
		PerPosition: 5 * time.Microsecond, MaxBatch: 64, MaxGenerations: 512, MaxCachedPrefixes: 64,
		LoadSampleInterval: 200 * time.Millisecond,
	}
}

// Engine is a stand-in for a model engine that holds a range of layers and
// batches continuously.
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

// EngineCounts is what an engine has seen.
type EngineCounts struct {
	Steps           uint64 `json:"steps"`
	Positions       uint64 `json:"positions"`
	CachedPositions uint64 `json:"cached"`
	Gaps            uint64 `json:"gaps"`
	Fenced          uint64 `json:"fenced"`
	Duplicates      uint64 `json:"duplicates"`
	Admitted        uint64 `json:"admitted"`
}

// NewEngine returns an engine. Run makes it work.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{
		config:   c,
		sessions: make(map[sessionID]*session),
		wake:     make(chan struct{}, 1),
		prefixes: newPrefixCache(c.MaxCachedPrefixes),
	}
}

// Counts returns what the engine has seen.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// SetFaults changes the engine's faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Handler serves the engine's protocol, and its switches at /faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := wireconnect.NewEngineHandler(e)
	mux.Handle(path, handler)
	mux.Handle("POST /faults", jsonSetHandler(e.SetFaults))
	mux.Handle("GET /counts", jsonGetHandler(func() any { return e.Counts() }))
	return mux
}

// Run batches steps until the context ends.
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

// Steps implements the engine's protocol.
func (e *Engine) Steps(ctx context.Context, s *connect.BidiStream[wire.StepRequest, wire.StepReply]) error {
	replies := make(chan *wire.StepReply, 4096)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	// The stream must not be used once this function has returned.
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { sendReplies(ctx, cancel, s, replies) })
	answer := func(r *wire.StepReply) {
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
		e.enqueue(step, answer)
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
