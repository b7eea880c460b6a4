package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// Defaults of a ChainEngine.
const (
	// eventInterval is the time between two events of a stream.
	eventInterval = 15 * time.Millisecond
	// loadTime is the time to load any range of layers.
	loadTime = 150 * time.Millisecond
	// stallTimeout is how long a stream waits for an unavailable stage before it
	// is aborted.
	stallTimeout = 2500 * time.Millisecond
	// stageCheckTimeout is the timeout of a request that checks a stage.
	stageCheckTimeout = 80 * time.Millisecond
	// engineMemory is an engine's memory for streams, in tokens times layers.
	engineMemory = 100_000
	// streamMemory is the memory of a stream, in tokens times layers.
	streamMemory = 500
	// abortAfterEvents is the number of events before an injected abort.
	abortAfterEvents = 3
)

// ChainEngine is a stand-in for an engine that executes a range of layers of a
// pipeline. The first engine of a chain serves the stream and checks the other
// stages of the chain for each event.
type ChainEngine struct {
	*serverBase
	// ownAddress is the address in the engine's entry and in chains.
	ownAddress string
	client     *http.Client

	model engineModel
	// registry holds the engines of the same process. If it is nil, the other
	// stages are reached over HTTP.
	registry *EngineRegistry

	mu          sync.Mutex
	heldLayers  fleet.LayerRange
	loading     bool
	ordersTaken uint64
	streams     map[string]*engineStream
	// usedMemory is the memory reserved by the streams of a registry, in tokens
	// times layers.
	usedMemory float64
	// passingStreams is the number of streams of a registry that have a stage on
	// this engine.
	passingStreams int
	// slowdown multiplies execution times; values below 1 count as 1.
	slowdown float64
	faults   ChainFaults
	// acceptedStreams counts the accepted streams since the faults were set.
	acceptedStreams int
}

// engineStream is a stream whose first stage is on this engine.
type engineStream struct {
	stages    []chainStage
	stalledAt string
	// abort is true if the stream is aborted after abortAfterEvents events.
	abort bool
}

// chainStage is a stage in the Path header of a request.
type chainStage struct {
	address string
	layers  fleet.LayerRange
}

// NewChainEngine returns an engine that holds no layers. The address is that
// which clients and other engines connect to.
func NewChainEngine(id, address string, opts ...ServerOption) *ChainEngine {
	return &ChainEngine{
		serverBase: newServerBase(id, opts), ownAddress: address, client: &http.Client{Timeout: stageCheckTimeout}, streams: make(map[string]*engineStream),
		model: siteModel{},
	}
}

// Entry returns the engine's entry in the list of servers.
func (e *ChainEngine) Entry(centre string) *platformpb.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &platformpb.Server{
		Service: SiteStreamService, Address: e.ownAddress, Zone: centre, State: e.entryState(), Slots: float64(e.model.slots()), Kind: e.model.accelerator(),
		Layers: e.reportedLayers(), Born: e.startMS, Software: standinSoftware, OrdersTaken: float64(e.ordersTaken),
	}
}

func (e *ChainEngine) reportedLayers() *platformpb.Layers {
	if e.heldLayers.Empty() {
		return nil
	}
	return &platformpb.Layers{From: float64(e.heldLayers.From), To: float64(e.heldLayers.To)}
}

// Handler returns the HTTP handler of orders, reports, stage checks of other
// engines and streams, of fault injection at /faults, and of the calls that
// all stand-in servers have.
func (e *ChainEngine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.handleReport)
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("GET /part", e.handleStageCheck)
	mux.Handle("POST /faults", jsonSetHandler(e.SetFaults))
	e.registerHandlers(mux)
	mux.HandleFunc("/", e.handleStream)
	return mux
}

func (e *ChainEngine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := &platformpb.Report{Busy: e.loading, OrdersTaken: float64(e.ordersTaken), Layers: e.reportedLayers(), Kind: e.model.accelerator(), Born: e.startMS,
		Active: float64(len(e.streams)), KvUsed: e.memoryUsed(), KvTotal: e.model.streamCapacity(e.heldLayers.Len()), Pace: max(e.slowdown, 1)}
	for id, s := range e.streams {
		if s.stalledAt != "" {
			report.Stalled = append(report.Stalled, &platformpb.Stalled{Id: id, Address: s.stalledAt})
		}
	}
	e.mu.Unlock()
	writeProto(w, http.StatusOK, report)
}

// handleStageCheck responds with 204 if the engine holds the layers in the query,
// and with 421 otherwise.
func (e *ChainEngine) handleStageCheck(w http.ResponseWriter, r *http.Request) {
	if !e.holds(parseLayerRange(r.URL.Query().Get("layers"))) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// holds reports whether the engine holds all layers of a range that is not empty.
func (e *ChainEngine) holds(r fleet.LayerRange) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !r.Empty() && e.heldLayers.Covers(r)
}

// handleStream executes a stream, or rejects it if a stage of its chain is
// unavailable or has no free capacity.
func (e *ChainEngine) handleStream(w http.ResponseWriter, r *http.Request) {
	if !e.acceptInstance(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.admitRequest(w, r) {
		return
	}
	stages := parseChain(r.Header.Get("Path"))
	unavailable := e.unavailableStage(r.Context(), stages)
	if unavailable == "" {
		unavailable = e.reserve(r, stages)
	}
	if unavailable != "" {
		w.Header().Set("At-Server", unavailable)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.release(r, stages)
	e.onExecute(r.Header.Get("Attempt-Id"))
	if e.crash.trigger(r.URL.Path) || e.crashByPart(w, r) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", e.id)
	outcome := e.nextOutcome()
	if outcome == outcomeFailed {
		http.Error(w, "the engine fails", http.StatusInternalServerError)
		return
	}
	stream := &engineStream{stages: stages, abort: outcome == outcomeAborted}
	e.mu.Lock()
	e.streams[id] = stream
	e.mu.Unlock()
	defer e.removeStream(id, stream)
	w.Header().Set("Content-Type", "text/event-stream")
	e.writeEvents(w, r, stream)
}

func (e *ChainEngine) removeStream(id string, stream *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == stream {
		delete(e.streams, id)
	}
}

// unavailableStage returns the address of the first stage that cannot be
// executed. It returns the engine's own address if the chain does not cover all
// layers, and the empty string if all stages are available.
func (e *ChainEngine) unavailableStage(ctx context.Context, stages []chainStage) string {
	next := 0
	for i, p := range stages {
		if p.layers.From != next || i == 0 && !e.holds(p.layers) || i > 0 && !e.stageAvailable(ctx, p) {
			return p.address
		}
		next = p.layers.To
	}
	if next != e.model.layers() {
		return e.ownAddress
	}
	return ""
}

// stageAvailable reports whether the engine of a stage holds its layers.
func (e *ChainEngine) stageAvailable(ctx context.Context, p chainStage) bool {
	if e.registry != nil {
		other := e.registry.engineAt(p.address)
		return other != nil && other.holds(p.layers)
	}
	url := fmt.Sprintf("http://%s/part?layers=%d-%d", p.address, p.layers.From, p.layers.To)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

func parseChain(text string) []chainStage {
	var stages []chainStage
	for stage := range strings.SplitSeq(text, ",") {
		address, layers, _ := strings.Cut(stage, "=")
		stages = append(stages, chainStage{address: address, layers: parseLayerRange(layers)})
	}
	return stages
}

func parseLayerRange(text string) fleet.LayerRange {
	from, to, _ := strings.Cut(text, "-")
	var r fleet.LayerRange
	// A bound that is not a number becomes 0. An empty range is held by no engine.
	r.From, _ = strconv.Atoi(from)
	r.To, _ = strconv.Atoi(to)
	return r
}

// standinSoftware is the software version in the entries of stand-ins.
const standinSoftware = "v1"

// EntryBytes returns the JSON encoding of an entry with all fields, including
// those with zero values, as servers write it.
func EntryBytes(entry *platformpb.Server) ([]byte, error) {
	return protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(entry)
}
