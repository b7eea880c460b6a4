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

// Desk is a stand-in for a plain service of the users' platform. It counts how
// often it has run each try, which is what at-most-once is judged by.
type Desk struct {
	*life
	advertised string
	work       time.Duration
	slots      chan struct{}
	// queue are places for those that wait for a slot; none where it is nil.
	queue chan struct{}
	// shut tells that it runs nothing.
	shut atomic.Bool
	mu   sync.Mutex
	runs map[string]DeskRun
}

// DeskRun is what became of one try.
type DeskRun struct {
	Runs    int    `json:"runs"`
	Account string `json:"account"`
	// LastMS is the wall time of the last run, in ms since 1970.
	LastMS int64 `json:"last_ms"`
}

// deskSlots is how many requests a desk works on at a time.
const deskSlots = 6

// NewDesk returns a desk that takes a time for each request.
func NewDesk(id, advertised string, work time.Duration, opts ...ServerOption) *Desk {
	return &Desk{
		life: newLife(id, opts), advertised: advertised, work: work, slots: make(chan struct{}, deskSlots), runs: make(map[string]DeskRun),
	}
}

// Entry returns the desk's entry in the list of servers.
func (d *Desk) Entry(centre string) *platformpb.Server {
	return &platformpb.Server{Service: SiteDesk, Address: d.advertised, Zone: centre, State: d.state(), Slots: float64(cap(d.slots)), Born: d.born, Software: standinSoftware}
}

// Handler serves requests, what was run at /runs, and the desk's leaving at /leave.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /runs", jsonHandler(func() any { return d.Runs() }))
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	d.serve(mux)
	mux.HandleFunc("/", d.answer)
	return mux
}

// Runs returns what was run, by the callers' names of the tries.
func (d *Desk) Runs() map[string]DeskRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := make(map[string]DeskRun, len(d.runs))
	for id, r := range d.runs {
		runs[id] = r
	}
	return runs
}

func (d *Desk) answer(w http.ResponseWriter, r *http.Request) {
	if !d.meant(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !d.admit(w, r) {
		return
	}
	if !d.enter(r.Context()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-d.slots }()
	if d.crash.begin(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	d.note(id, r.Header.Get("Tenant-Id"))
	time.Sleep(d.work)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", d.id)
	// A caller that has left needs no answer.
	_, _ = io.WriteString(w, DeskAnswer(r.URL.Path))
}

// SetPlaces sets how many requests it works on, and how many wait for a slot instead of being
// refused. It is for a desk that nobody has asked yet.
func (d *Desk) SetPlaces(slots, queue int) {
	d.slots, d.queue = make(chan struct{}, slots), make(chan struct{}, queue)
}

// SetShut has the desk run nothing, as if others had all of its places.
func (d *Desk) SetShut(shut bool) { d.shut.Store(shut) }

// Open tells whether it has a place for another request.
func (d *Desk) Open() bool {
	return !d.shut.Load() && (len(d.slots) < cap(d.slots) || len(d.queue) < cap(d.queue))
}

// enter takes a slot, or waits for one in the queue; it reports whether there was a place.
func (d *Desk) enter(ctx context.Context) bool {
	if d.shut.Load() {
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

func (d *Desk) note(id, account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := d.runs[id]
	run.Runs++
	run.Account, run.LastMS = account, time.Now().UnixMilli()
	d.runs[id] = run
}

// DeskAnswer is the answer to a path.
func DeskAnswer(path string) string { return fmt.Sprintf("done %s\n", path) }
