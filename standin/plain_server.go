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

// PlainServer is a stand-in for a server of a plain service of the users'
// platform. It counts the executions of each attempt, so that tests can check
// at-most-once execution.
type PlainServer struct {
	*serverBase
	ownAddress string
	workTime   time.Duration
	slots      chan struct{}
	// queue holds an element for each request that waits for a slot. If it is nil,
	// requests without a free slot are rejected.
	queue chan struct{}
	// rejectAll is true if all requests are rejected.
	rejectAll  atomic.Bool
	mu         sync.Mutex
	executions map[string]ExecutionRecord
}

// ExecutionRecord holds the executions of one attempt.
type ExecutionRecord struct {
	Executions int    `json:"runs"`
	Account    string `json:"account"`
	// LastStartMS is the start of the last execution, in ms since 1970.
	LastStartMS int64 `json:"last_ms"`
}

// plainServerSlots is the default of the maximum concurrent requests of a
// PlainServer.
const plainServerSlots = 6

// NewPlainServer returns a server that works on each request for the given time.
func NewPlainServer(id, address string, workTime time.Duration, opts ...ServerOption) *PlainServer {
	return &PlainServer{
		serverBase: newServerBase(id, opts), ownAddress: address, workTime: workTime, slots: make(chan struct{}, plainServerSlots), executions: make(map[string]ExecutionRecord),
	}
}

// Entry returns the server's entry in the list of servers.
func (s *PlainServer) Entry(centre string) *platformpb.Server {
	return &platformpb.Server{Service: SitePlainService, Address: s.ownAddress, Zone: centre, State: s.entryState(), Slots: float64(cap(s.slots)), Born: s.startMS, Software: standinSoftware}
}

// Handler returns the HTTP handler of requests, of the executions at /runs, and
// of the calls that all stand-in servers have.
func (s *PlainServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /runs", jsonGetHandler(func() any { return s.Executions() }))
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	s.registerHandlers(mux)
	mux.HandleFunc("/", s.handleRequest)
	return mux
}

// Executions returns the executions by attempt id.
func (s *PlainServer) Executions() map[string]ExecutionRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make(map[string]ExecutionRecord, len(s.executions))
	for id, r := range s.executions {
		executions[id] = r
	}
	return executions
}

func (s *PlainServer) handleRequest(w http.ResponseWriter, r *http.Request) {
	if !s.acceptInstance(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !s.admitRequest(w, r) {
		return
	}
	if !s.acquireSlot(r.Context()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	if s.crash.trigger(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	s.recordExecution(id, r.Header.Get("Tenant-Id"))
	time.Sleep(s.workTime)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", s.id)
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(w, PlainAnswer(r.URL.Path))
}

// SetSlots sets the maximum numbers of concurrent requests and of requests that
// wait for a slot. It must be called before the first request.
func (s *PlainServer) SetSlots(slots, queue int) {
	s.slots, s.queue = make(chan struct{}, slots), make(chan struct{}, queue)
}

// SetRejectAll sets whether the server rejects all requests, as if other clients
// used all of its slots.
func (s *PlainServer) SetRejectAll(reject bool) { s.rejectAll.Store(reject) }

// Available reports whether another request would get a slot or a place in the
// queue.
func (s *PlainServer) Available() bool {
	return !s.rejectAll.Load() && (len(s.slots) < cap(s.slots) || len(s.queue) < cap(s.queue))
}

// acquireSlot takes a slot, waiting in the queue if none is free. It returns
// false if the queue is full or ctx is cancelled.
func (s *PlainServer) acquireSlot(ctx context.Context) bool {
	if s.rejectAll.Load() {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *PlainServer) recordExecution(id, account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.executions[id]
	record.Executions++
	record.Account, record.LastStartMS = account, time.Now().UnixMilli()
	s.executions[id] = record
}

// PlainAnswer returns the response body for a path.
func PlainAnswer(path string) string { return fmt.Sprintf("done %s\n", path) }
