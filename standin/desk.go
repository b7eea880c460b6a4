package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// PlainServer is a stand-in for a plain service of the users' platform. It counts how
// often it has run each try, which is what at-most-once is judged by.
type PlainServer struct {
	*serverBase
	ownAddress string
	workTime   time.Duration
	slots      chan struct{}
	// queue are places for those that wait for a slot; none where it is nil.
	queue chan struct{}
	// rejectAll tells that it runs nothing.
	rejectAll  atomic.Bool
	mu         sync.Mutex
	executions map[string]ExecutionRecord
}

// ExecutionRecord is what became of one try.
type ExecutionRecord struct {
	Executions int    `json:"runs"`
	Account    string `json:"account"`
	// AtMS is the wall time of the last run, in ms since 1970.
	LastStartMS int64 `json:"last_ms"`
}

// plainServerSlots is how many requests a desk works on at a time.
const plainServerSlots = 6

// NewPlainServer returns a desk that takes a time for each request.
func NewPlainServer(id, advertised string, work time.Duration, opts ...ServerOption) *PlainServer {
	return &PlainServer{
		serverBase: newServerBase(id, opts), ownAddress: advertised, workTime: work, slots: make(chan struct{}, plainServerSlots), executions: make(map[string]ExecutionRecord),
	}
}

// Entry returns the desk's entry in the list of servers.
func (d *PlainServer) Entry(centre string) *platformpb.Server {
	return &platformpb.Server{Service: SitePlainService, Address: d.ownAddress, Zone: centre, State: d.entryState(), Slots: float64(cap(d.slots)), Born: d.startMS, Software: standinSoftware}
}

// Handler serves requests, what was run at /runs, and the desk's leaving at /leave.
func (d *PlainServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /runs", jsonGetHandler(func() any { return d.Executions() }))
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	d.registerHandlers(mux)
	mux.HandleFunc("/", d.handleRequest)
	return mux
}

// Executions returns what was run, by the callers' names of the tries.
func (d *PlainServer) Executions() map[string]ExecutionRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := make(map[string]ExecutionRecord, len(d.executions))
	for id, r := range d.executions {
		runs[id] = r
	}
	return runs
}

func (d *PlainServer) handleRequest(w http.ResponseWriter, r *http.Request) {
	if !d.acceptInstance(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !d.admitRequest(w, r) {
		return
	}
	if !d.acquireSlot(r.Context()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-d.slots }()
	if d.crash.trigger(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	d.recordExecution(id, r.Header.Get("Tenant-Id"))
	time.Sleep(d.workTime)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", d.id)
	// A caller that has left needs no answer.
	_, _ = io.WriteString(w, PlainAnswer(r.URL.Path))
}

// SetSlots sets how many requests it works on, and how many wait for a slot instead of being
// refused. It is for a desk that nobody has asked yet.
func (d *PlainServer) SetSlots(slots, queue int) {
	d.slots, d.queue = make(chan struct{}, slots), make(chan struct{}, queue)
}

// SetRejectAll has the desk run nothing, as if others had all of its places.
func (d *PlainServer) SetRejectAll(shut bool) { d.rejectAll.Store(shut) }

// Available tells whether it has a place for another request.
func (d *PlainServer) Available() bool {
	return !d.rejectAll.Load() && (len(d.slots) < cap(d.slots) || len(d.queue) < cap(d.queue))
}

// acquireSlot takes a slot, or waits for one in the queue; it reports whether there was a place.
func (d *PlainServer) acquireSlot(ctx context.Context) bool {
	if d.rejectAll.Load() {
		return false
	}
	select {
	case d.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case d.queue <- struct{}{}:
		defer func() { <-d.queue }()
	default:
		return false
	}
	select {
	case d.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *PlainServer) recordExecution(id, account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := d.executions[id]
	run.Executions++
	run.Account, run.LastStartMS = account, time.Now().UnixMilli()
	d.executions[id] = run
}

// PlainAnswer is the answer to a path.
func PlainAnswer(path string) string { return fmt.Sprintf("done %s\n", path) }
