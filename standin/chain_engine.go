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
	// eventEvery is the time between two events, and loadTime that of a load.
	eventEvery = 15 * time.Millisecond
	loadTime   = 150 * time.Millisecond
	// stallTime is how long a stream waits for a part that is lost before it is
	// cut, and askPart bounds one question to a part.
	stallTime = 2500 * time.Millisecond
	askPart   = 80 * time.Millisecond
	// engineMemory is the memory for requests, and streamMemory what one takes, in tokens
	// times layers.
	engineMemory = 100_000
	streamMemory = 500
	// cutAfter is how many events a stream has that is broken off.
	cutAfter = 3
)

// ChainEngine is a stand-in for an engine that runs pipelines by itself: it
// holds a range of layers, and the first of a chain asks the others for every
// event of its streams.
type ChainEngine struct {
	*life
	// advertised is the address by which callers and other engines know it.
	advertised string
	client     *http.Client

	model engineModel
	// yard holds the engines of the same process; nil for an engine alone.
	yard *Yard

	mu      sync.Mutex
	held    fleet.LayerRange
	loading bool
	orders  uint64
	streams map[string]*engineStream
	// used is the memory that streams of the yard take, in tokens times layers, and passing
	// how many of them pass this engine.
	used    float64
	passing int
	// slow is how many times as long as usual it takes; zero for as long.
	slow   float64
	faults ChainFaults
	// taken counts the streams that were taken since the faults were set.
	taken int
}

// engineStream is a stream that began at this engine.
type engineStream struct {
	parts     []enginePart
	stalledAt string
	// cut tells that it is broken off after cutAfter events.
	cut bool
}

// enginePart is a stage as the chain's header names it.
type enginePart struct {
	address string
	layers  fleet.LayerRange
}

// NewChainEngine returns an empty engine.
func NewChainEngine(id, advertised string, opts ...ServerOption) *ChainEngine {
	return &ChainEngine{
		life: newLife(id, opts), advertised: advertised, client: &http.Client{Timeout: askPart}, streams: make(map[string]*engineStream),
		model: siteModel{},
	}
}

// Entry returns the engine's entry in the list of servers.
func (e *ChainEngine) Entry(centre string) *platformpb.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &platformpb.Server{
		Service: SiteWriter, Address: e.advertised, Zone: centre, State: e.state(), Slots: float64(e.model.slots()), Kind: e.model.kind(),
		Layers: e.layers(), Born: e.born, Software: standinSoftware, OrdersTaken: float64(e.orders),
	}
}

func (e *ChainEngine) layers() *platformpb.Layers {
	if e.held.Empty() {
		return nil
	}
	return &platformpb.Layers{From: float64(e.held.From), To: float64(e.held.To)}
}

// Handler serves orders, reports, questions of other engines, and streams; its faults
// at /faults, and its leaving at /leave.
func (e *ChainEngine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /part", e.part)
	mux.Handle("POST /faults", faultHandler(e.SetFaults))
	e.serve(mux)
	mux.HandleFunc("/", e.generate)
	return mux
}

func (e *ChainEngine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := &platformpb.Report{Busy: e.loading, OrdersTaken: float64(e.orders), Layers: e.layers(), Kind: e.model.kind(), Born: e.born,
		Active: float64(len(e.streams)), KvUsed: e.memoryUsed(), KvTotal: e.model.room(e.held.Len()), Pace: max(e.slow, 1)}
	for id, s := range e.streams {
		if s.stalledAt != "" {
			report.Stalled = append(report.Stalled, &platformpb.Stalled{Id: id, Address: s.stalledAt})
		}
	}
	e.mu.Unlock()
	writeProto(w, http.StatusOK, report)
}

// part answers another engine whether this one holds a range.
func (e *ChainEngine) part(w http.ResponseWriter, r *http.Request) {
	if !e.holds(parseRange(r.URL.Query().Get("layers"))) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *ChainEngine) holds(r fleet.LayerRange) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !r.Empty() && e.held.Covers(r)
}

// generate runs a stream, or refuses it.
func (e *ChainEngine) generate(w http.ResponseWriter, r *http.Request) {
	if !e.meant(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.admit(w, r) {
		return
	}
	parts := parseParts(r.Header.Get("Path"))
	bad := e.unfit(r.Context(), parts)
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
	if e.crash.begin(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", e.id)
	fate := e.take()
	if fate == fateFailed {
		http.Error(w, "the engine fails", http.StatusInternalServerError)
		return
	}
	stream := &engineStream{parts: parts, cut: fate == fateCut}
	e.mu.Lock()
	e.streams[id] = stream
	e.mu.Unlock()
	defer e.end(id, stream)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, stream)
}

func (e *ChainEngine) end(id string, stream *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == stream {
		delete(e.streams, id)
	}
}

// unfit returns the address of the first part that cannot run, if any.
func (e *ChainEngine) unfit(ctx context.Context, parts []enginePart) string {
	next := 0
	for i, p := range parts {
		if p.layers.From != next || i == 0 && !e.holds(p.layers) || i > 0 && !e.ask(ctx, p) {
			return p.address
		}
		next = p.layers.To
	}
	if next != e.model.layers() {
		return e.advertised
	}
	return ""
}

// ask asks another engine whether it holds its part.
func (e *ChainEngine) ask(ctx context.Context, p enginePart) bool {
	if e.yard != nil {
		other := e.yard.at(p.address)
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

func parseParts(text string) []enginePart {
	var parts []enginePart
	for word := range strings.SplitSeq(text, ",") {
		address, layers, _ := strings.Cut(word, "=")
		parts = append(parts, enginePart{address: address, layers: parseRange(layers)})
	}
	return parts
}

func parseRange(text string) fleet.LayerRange {
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
