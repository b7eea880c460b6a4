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

// Times of the stand-in engine.
const (
	// eventInterval is the time between two events, and loadTime that of a load.
	eventInterval = 15 * time.Millisecond
	loadTime      = 150 * time.Millisecond
	// stallTimeout is how long a stream waits for a part that is lost before it is
	// cut, and stageCheckTimeout bounds one question to a part.
	stallTimeout      = 2500 * time.Millisecond
	stageCheckTimeout = 80 * time.Millisecond
	// engineMemory is the memory for requests, and streamMemory what one takes, in tokens
	// times layers.
	engineMemory = 100_000
	streamMemory = 500
	// abortAfterEvents is how many events a stream has that is broken off.
	abortAfterEvents = 3
)

// ChainEngine is a stand-in for an engine that runs pipelines by itself: it
// holds a range of layers, and the first of a chain asks the others for every
// event of its streams.
type ChainEngine struct {
	*serverBase
	// ownAddress is the address by which callers and other engines know it.
	ownAddress string
	client     *http.Client

	model engineModel
	// registry holds the engines of the same process; nil for an engine alone.
	registry *EngineRegistry

	mu          sync.Mutex
	heldLayers  fleet.LayerRange
	loading     bool
	ordersTaken uint64
	streams     map[string]*engineStream
	// usedMemory is the memory that streams of the yard take, in tokens times layers, and passing
	// how many of them pass this engine.
	usedMemory     float64
	passingStreams int
	// slowdown is how many times as long as usual it takes; zero for as long.
	slowdown float64
	faults   ChainFaults
	// acceptedStreams counts the streams that were taken since the faults were set.
	acceptedStreams int
}

// engineStream is a stream that began at this engine.
type engineStream struct {
	stages    []chainStage
	stalledAt string
	// abort tells that it is broken off after abortAfterEvents events.
	abort bool
}

// chainStage is a stage as the chain's header names it.
type chainStage struct {
	address string
	layers  fleet.LayerRange
}

// NewChainEngine returns an empty engine.
func NewChainEngine(id, advertised string, opts ...ServerOption) *ChainEngine {
	return &ChainEngine{
		serverBase: newServerBase(id, opts), ownAddress: advertised, client: &http.Client{Timeout: stageCheckTimeout}, streams: make(map[string]*engineStream),
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

// Handler serves orders, reports, questions of other engines, and streams; its faults
// at /faults, and its leaving at /leave.
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

// handleStageCheck answers another engine whether this one holds a range.
func (e *ChainEngine) handleStageCheck(w http.ResponseWriter, r *http.Request) {
	if !e.holds(parseLayerRange(r.URL.Query().Get("layers"))) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *ChainEngine) holds(r fleet.LayerRange) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !r.Empty() && e.heldLayers.Covers(r)
}

// handleStream runs a stream, or refuses it.
func (e *ChainEngine) handleStream(w http.ResponseWriter, r *http.Request) {
	if !e.acceptInstance(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.admitRequest(w, r) {
		return
	}
	parts := parseChain(r.Header.Get("Path"))
	bad := e.unavailableStage(r.Context(), parts)
	if bad == "" {
		bad = e.reserve(r, parts)
	}
	if bad != "" {
		w.Header().Set("At-Server", bad)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.release(r, parts)
	if e.crash.trigger(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", e.id)
	fate := e.nextOutcome()
	if fate == outcomeFailed {
		http.Error(w, "the engine fails", http.StatusInternalServerError)
		return
	}
	stream := &engineStream{stages: parts, abort: fate == outcomeAborted}
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

// unavailableStage returns the address of the first part that cannot run, if any.
func (e *ChainEngine) unavailableStage(ctx context.Context, parts []chainStage) string {
	next := 0
	for i, p := range parts {
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

// stageAvailable asks another engine whether it holds its part.
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
	var parts []chainStage
	for word := range strings.SplitSeq(text, ",") {
		address, layers, _ := strings.Cut(word, "=")
		parts = append(parts, chainStage{address: address, layers: parseLayerRange(layers)})
	}
	return parts
}

func parseLayerRange(text string) fleet.LayerRange {
	from, to, _ := strings.Cut(text, "-")
	var r fleet.LayerRange
	// What is no number leaves an empty range, which no engine holds.
	r.From, _ = strconv.Atoi(from)
	r.To, _ = strconv.Atoi(to)
	return r
}

// standinSoftware is the version of the stand-ins' software.
const standinSoftware = "v1"

// EntryBytes encodes an entry as a server writes it: with all of its fields.
func EntryBytes(entry *platformpb.Server) ([]byte, error) {
	return protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(entry)
}
