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
	// CachedPrefixes bounds the prompt prefixes whose cost is remembered.
	CachedPrefixes int
	// LoadLag is how old the reported load is.
	LoadLag time.Duration
}

// DefaultEngineConfig returns a small, fast engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		LastLayer: 3, Final: true, Base: time.Millisecond, PerStep: 50 * time.Microsecond,
		PerPosition: 5 * time.Microsecond, MaxBatch: 64, MaxGenerations: 512, CachedPrefixes: 64,
		LoadLag: 200 * time.Millisecond,
	}
}

// Engine is a stand-in for a model engine that holds a range of layers and
// batches continuously.
type Engine struct {
	config EngineConfig
	faults EngineFaults

	mu       sync.Mutex
	sessions map[sessionID]*session
	waiting  stepQueue
	wake     chan struct{}
	prefixes prefixCache
	load     laggingLoad
	counts   EngineCounts
}

// sessionID names a request at an engine.
type sessionID struct {
	node    uint64
	request uint64
}

// EngineCounts is what an engine has seen.
type EngineCounts struct {
	Steps      uint64 `json:"steps"`
	Positions  uint64 `json:"positions"`
	Cached     uint64 `json:"cached"`
	Gaps       uint64 `json:"gaps"`
	Fenced     uint64 `json:"fenced"`
	Duplicates uint64 `json:"duplicates"`
	Admitted   uint64 `json:"admitted"`
}

// NewEngine returns an engine. Run makes it work.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{
		config:   c,
		sessions: make(map[sessionID]*session),
		wake:     make(chan struct{}, 1),
		prefixes: newPrefixCache(c.CachedPrefixes),
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
	mux.Handle("POST /faults", faultHandler(e.SetFaults))
	mux.Handle("GET /counts", jsonHandler(func() any { return e.Counts() }))
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

func (e *Engine) nextBatch() []*queuedStep {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting.take(e.config.MaxBatch)
}

// runBatch takes the time that the batch costs, and then answers its steps.
func (e *Engine) runBatch(ctx context.Context, batch []*queuedStep) {
	e.mu.Lock()
	cost := e.config.Base + e.faults.Slow()
	for _, q := range batch {
		cost += e.config.PerStep + e.config.PerPosition*time.Duration(e.uncached(q))
	}
	e.mu.Unlock()
	if !sleep(ctx, cost) {
		return
	}
	for e.frozen() {
		if !sleep(ctx, frozenPoll) {
			return
		}
	}
	for _, q := range batch {
		e.answer(q)
	}
}

// frozenPoll is how often a frozen engine looks whether it still is.
const frozenPoll = 2 * time.Millisecond

// sleep waits, and returns false when the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (e *Engine) frozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Frozen
}

// answer runs a step and sends its reply, over a slow link or twice where a
// fault says so.
func (e *Engine) answer(q *queuedStep) {
	e.mu.Lock()
	reply := e.run(q.step)
	faults := e.faults
	e.mu.Unlock()
	for range 1 + faults.Doubled {
		if faults.LinkMS == 0 {
			q.answer(reply)
			continue
		}
		time.AfterFunc(time.Duration(faults.LinkMS)*time.Millisecond, func() { q.answer(reply) })
	}
}

// uncached returns how many positions of a step have to be worked out.
func (e *Engine) uncached(q *queuedStep) int {
	n := positionsOf(q.step)
	if q.step.GetPosition() == 0 {
		q.cached = e.prefixes.lookup(q.step)
		e.counts.Cached += uint64(q.cached)
	}
	return n - q.cached
}

func positionsOf(s *wire.StepRequest) int {
	return len(tokenize(s.GetPrompt())) + len(s.GetTokens()) + len(s.GetInputs())
}

// Steps implements the engine's protocol.
func (e *Engine) Steps(ctx context.Context, s *connect.BidiStream[wire.StepRequest, wire.StepReply]) error {
	replies := make(chan *wire.StepReply, 4096)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go send(ctx, cancel, s, replies)
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
		e.take(step, answer)
	}
}

func send(ctx context.Context, cancel func(), s *connect.BidiStream[wire.StepRequest, wire.StepReply], replies <-chan *wire.StepReply) {
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

// take queues a step, or refuses it before anything has begun.
func (e *Engine) take(step *wire.StepRequest, answer func(*wire.StepReply)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := sessionID{node: step.GetNode(), request: step.GetRequest()}
	if step.GetEnd() {
		if s := e.sessions[id]; s != nil && s.generation <= step.GetGeneration() {
			delete(e.sessions, id)
		}
		return
	}
	if status := e.refusal(id, step); status != wire.StepStatus_STEP_STATUS_OK {
		answer(e.reply(step, status))
		return
	}
	e.waiting.add(&queuedStep{step: step, answer: answer})
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) refusal(id sessionID, step *wire.StepRequest) wire.StepStatus {
	s := e.sessions[id]
	if s != nil && s.generation > step.GetGeneration() {
		e.counts.Fenced++
		return wire.StepStatus_STEP_STATUS_FENCED
	}
	if s != nil && s.generation == step.GetGeneration() {
		return wire.StepStatus_STEP_STATUS_OK
	}
	switch {
	case step.GetPosition() != 0:
		e.counts.Gaps++
		return wire.StepStatus_STEP_STATUS_GAP
	case e.faults.Leaving:
		return wire.StepStatus_STEP_STATUS_LEAVING
	case s == nil && len(e.sessions) >= e.config.MaxGenerations:
		return wire.StepStatus_STEP_STATUS_FULL
	}
	e.counts.Admitted++
	e.sessions[id] = newSession(step.GetGeneration(), e.config)
	return wire.StepStatus_STEP_STATUS_OK
}

// run runs a step's layers.
func (e *Engine) run(step *wire.StepRequest) *wire.StepReply {
	s := e.sessions[sessionID{node: step.GetNode(), request: step.GetRequest()}]
	if s == nil || s.generation != step.GetGeneration() {
		e.counts.Fenced++
		return e.reply(step, wire.StepStatus_STEP_STATUS_FENCED)
	}
	if s.last != nil && s.last.GetPosition() == step.GetPosition() {
		e.counts.Duplicates++
		return s.last
	}
	if s.next != step.GetPosition() {
		e.counts.Gaps++
		return e.reply(step, wire.StepStatus_STEP_STATUS_GAP)
	}
	reply := e.reply(step, wire.StepStatus_STEP_STATUS_OK)
	s.run(step, e.config, reply)
	e.counts.Steps++
	e.counts.Positions += uint64(reply.GetPositions())
	return reply
}

func (e *Engine) reply(step *wire.StepRequest, status wire.StepStatus) *wire.StepReply {
	load, age := e.load.at(time.Now(), len(e.sessions), e.config.LoadLag)
	return &wire.StepReply{
		Node: step.GetNode(), Request: step.GetRequest(), Generation: step.GetGeneration(), Position: step.GetPosition(),
		Status: status, Load: load, LoadAgeMs: age, Leaving: e.faults.Leaving,
	}
}
