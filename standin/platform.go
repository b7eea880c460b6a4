package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// What the platform handles, a second.
const (
	writesPerSecond = 100
	readsPerSecond  = 2000
)

// Platform is a stand-in for the platform's table service, object store and
// list of VMs.
type Platform struct {
	mu      sync.Mutex
	faults  PlatformFaults
	table   table
	objects map[string][]byte
	vms     delayedList
	writes  rateLimiter
	reads   rateLimiter
	counts  PlatformCounts
}

// PlatformCounts is what the platform has been asked.
type PlatformCounts struct {
	Writes       uint64 `json:"writes"`
	Reads        uint64 `json:"reads"`
	Refused      uint64 `json:"refused"`
	ListRequests uint64 `json:"list_gets"`
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		table:   newTable(),
		objects: make(map[string][]byte),
		writes:  newRateLimiter(writesPerSecond),
		reads:   newRateLimiter(readsPerSecond),
	}
}

// SetFaults changes the platform's faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVMs changes the list of VMs. It shows after the lag that is set.
func (p *Platform) SetVMs(vms []pool.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := time.Duration(p.faults.ListLagMS) * time.Millisecond
	p.vms.publish(time.Now().Add(lag), vms)
}

// Counts returns what the platform has been asked.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Handler serves the platform's protocol, its switches at /faults, and the
// list of VMs to be set at /vms.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", p.withStoreFaults(p.handleRow))
	mux.HandleFunc("GET /table/scan", p.withStoreFaults(p.handleScan))
	mux.HandleFunc("POST /table/txn", p.withStoreFaults(p.handleTransaction))
	mux.HandleFunc("GET /objects/{name}", p.withStoreFaults(p.handleGetObject))
	mux.HandleFunc("PUT /objects/{name}", p.withStoreFaults(p.handlePutObject))
	mux.HandleFunc("GET /vms", p.handleVMs)
	mux.Handle("PUT /vms", jsonSetHandler(p.SetVMs))
	mux.Handle("POST /faults", jsonSetHandler(p.SetFaults))
	mux.Handle("GET /counts", jsonGetHandler(func() any { return p.Counts() }))
	return mux
}

// withStoreFaults wraps a call of the store in its faults and its limits.
func (p *Platform) withStoreFaults(call func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		time.Sleep(time.Duration(faults.StoreDelayMS) * time.Millisecond)
		if faults.Down || !p.allowCall(r.Method != http.MethodGet) {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		if faults.LoseResponses && r.Method != http.MethodGet {
			call(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		call(w, r)
	}
}

func (p *Platform) allowCall(write bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, count := &p.reads, &p.counts.Reads
	if write {
		limit, count = &p.writes, &p.counts.Writes
	}
	if !limit.allow(time.Now()) {
		p.counts.Refused++
		return false
	}
	*count++
	return true
}

func (p *Platform) handleRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	value, ok := p.table.get(r.URL.Query().Get("key"))
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, tablestore.Row{Key: r.URL.Query().Get("key"), Value: value})
}

func (p *Platform) handleScan(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	rows := p.table.scan(r.URL.Query().Get("after"), r.URL.Query().Get("to"))
	p.mu.Unlock()
	writeJSON(w, rows)
}

func (p *Platform) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var txn tablestore.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	result := p.table.commit(txn)
	p.mu.Unlock()
	writeJSON(w, result)
}

func (p *Platform) handleVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down := p.faults.ListDown
	p.counts.ListRequests++
	list := p.vms.visibleAt(time.Now())
	p.mu.Unlock()
	if down {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("since") == strconv.FormatUint(list.Version, 10) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// discardResponse is where an answer that gets lost is written.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}
