package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// maxMissedHeartbeats is the number of missed heartbeats after which an entry
// expires.
const maxMissedHeartbeats = 3

// RowStore is a stand-in for the store of the users' platform. It has tables of
// rows with conditional writes and feeds of changes. The entries in the list of
// servers expire without heartbeats.
type RowStore struct {
	mu           sync.Mutex
	rows         map[string]*platformpb.Row
	log          []*platformpb.Row
	revision     uint64
	historyStart uint64
	heartbeats   map[string]heartbeatRecord
	changed      chan struct{}
	faults       RowStoreFaults
	started      time.Time
	capacity     *storeCapacity
	// era counts the restores of the store from a backup, starting at 1.
	era uint64
	// omitEra is true if responses do not have the Store-Era header.
	omitEra bool
	// backup is the last backup; Restore returns to it.
	backup storeBackup
}

// storeCapacity is the latency of the store's responses and its maximum rates of
// reads and writes.
type storeCapacity struct {
	latency time.Duration
	reads   rateLimiter
	writes  rateLimiter
}

// SetCapacity sets the latency of responses and the maximum numbers of reads and
// writes per second. Calls above them are rejected. Heartbeats are not limited.
func (s *RowStore) SetCapacity(latency time.Duration, reads, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = &storeCapacity{latency: latency, reads: newRateLimiter(reads), writes: newRateLimiter(writes)}
}

// admitCall returns the latency of a call, and whether the call is within the
// rate limits. The caller holds the lock.
func (s *RowStore) admitCall(r *http.Request, now time.Time) (latency time.Duration, ok bool) {
	if s.capacity == nil || strings.HasPrefix(r.URL.Path, "/beat/") {
		return 0, true
	}
	if r.Method == http.MethodGet {
		return s.capacity.latency, s.capacity.reads.allow(now)
	}
	return s.capacity.latency, s.capacity.writes.allow(now)
}

// RowStoreFaults are the injectable faults of a RowStore.
type RowStoreFaults struct {
	// Down responds to all calls with status 503.
	Down bool `json:"down"`
	// Unresponsive leaves all calls without a response.
	Unresponsive bool `json:"silent"`
	// ResponseDelayMS delays each response, in ms.
	ResponseDelayMS int64 `json:"slow_ms"`
	// LoseWriteResponses executes writes but closes their connections without a
	// response.
	LoseWriteResponses bool `json:"lose_writes"`
	// DropHistory deletes the change log once, so that feeds of earlier revisions
	// fail with status 410.
	DropHistory bool `json:"forget"`
}

// heartbeatRecord holds the time of an entry's last heartbeat and the interval
// until the next one.
type heartbeatRecord struct {
	receivedAt time.Time
	interval   time.Duration
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{rows: make(map[string]*platformpb.Row), heartbeats: make(map[string]heartbeatRecord), changed: make(chan struct{}), started: time.Now(), era: 1}
}

// Handler returns the HTTP handler of the store's calls, of the heartbeats of
// servers at /beat/ID and of fault injection at /faults.
func (s *RowStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.withFaults(withQueryCheck(readRules, s.handleGet)))
	mux.HandleFunc("GET /rows-feed", s.withFaults(withQueryCheck(feedRules, s.handleFeed)))
	mux.HandleFunc("POST /rows-tx", s.withFaults(s.handleTransaction))
	mux.HandleFunc("POST /beat/{id}", s.withFaults(s.handleHeartbeat))
	mux.Handle("POST /faults", jsonSetHandler(s.SetFaults))
	return mux
}

// SetFaults replaces the store's injected faults.
func (s *RowStore) SetFaults(f RowStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.DropHistory {
		s.log, s.historyStart = nil, s.revision
		s.notifyFeeds()
	}
}

// withFaults wraps a call in the injected faults, the latency and the rate limits
// of the store.
func (s *RowStore) withFaults(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.setEraHeader(w)
		f := s.faults
		s.removeExpired(time.Now())
		latency, admitted := s.admitCall(r, time.Now())
		s.mu.Unlock()
		switch {
		case !admitted:
			w.WriteHeader(http.StatusTooManyRequests)
			return
		case f.Unresponsive:
			leaveUnanswered(r)
			return
		case f.Down:
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		case f.LoseWriteResponses && r.Method == http.MethodPost:
			call(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(latency + time.Duration(f.ResponseDelayMS)*time.Millisecond)
		call(w, r)
	}
}

// maxUnanswered is the maximum time that a call stays open without a response.
const maxUnanswered = 10 * time.Second

// leaveUnanswered keeps a call open without a response until its client
// disconnects. It reads the body first, because net/http detects a disconnect
// only after that.
func leaveUnanswered(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(maxUnanswered):
	}
	panic(http.ErrAbortHandler)
}

// Put writes a row without a condition, like the operator.
func (s *RowStore) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(table, key, value)
}

func (s *RowStore) put(table, key string, value []byte) {
	s.revision++
	row := &platformpb.Row{Table: table, Key: key, Value: value, Revision: float64(s.revision)}
	s.rows[table+"/"+key] = row
	s.log = append(s.log, row)
	s.notifyFeeds()
}

// Remove removes a row.
func (s *RowStore) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(table, key)
}

func (s *RowStore) remove(table, key string) {
	if _, ok := s.rows[table+"/"+key]; !ok {
		return
	}
	s.revision++
	delete(s.rows, table+"/"+key)
	s.log = append(s.log, &platformpb.Row{Table: table, Key: key, Revision: float64(s.revision), Gone: true})
	s.notifyFeeds()
}

// notifyFeeds wakes all feeds that wait for changes. The caller holds the lock.
func (s *RowStore) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeExpired removes the entries of servers without recent heartbeats. The
// caller holds the lock.
func (s *RowStore) removeExpired(now time.Time) {
	for id, b := range s.heartbeats {
		if now.Sub(b.receivedAt) > maxMissedHeartbeats*b.interval {
			delete(s.heartbeats, id)
			s.remove("servers", id)
		}
	}
}

// handleHeartbeat records a heartbeat, and writes the server's entry only if it
// differs from the stored one.
func (s *RowStore) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	every, err := strconv.Atoi(r.URL.Query().Get("every"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEraHeader(w)
	id := r.PathValue("id")
	s.heartbeats[id] = heartbeatRecord{receivedAt: time.Now(), interval: time.Duration(every) * time.Millisecond}
	if stored := s.rows["servers/"+id]; stored == nil || string(stored.GetValue()) != string(value) {
		s.put("servers", id, value)
	}
}

func (s *RowStore) handleGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	s.setEraHeader(w)
	rows := &platformpb.Rows{Revision: float64(s.revision), ClockMs: float64(time.Since(s.started).Milliseconds())}
	for _, row := range s.rows {
		to := query.Get("targetVersion")
		if row.GetTable() == query.Get("table") && row.GetKey() >= query.Get("from") && (to == "" || row.GetKey() < to) {
			rows.Rows = append(rows.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows.GetRows(), func(a, b *platformpb.Row) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	if limit, err := strconv.Atoi(query.Get("limit")); err == nil && limit < len(rows.GetRows()) {
		rows.Rows, rows.More = rows.GetRows()[:limit], true
	}
	writeProto(w, http.StatusOK, rows)
}

func (s *RowStore) handleFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.setEraHeader(w)
		rows, gone, changed := s.changesSince(query.Get("table"), after), after < s.historyStart || after > s.revision, s.changed
		s.mu.Unlock()
		if gone {
			http.Error(w, "forgotten", http.StatusGone)
			return
		}
		if len(rows.GetRows()) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		if s.unresponsive() {
			leaveUnanswered(r)
			return
		}
		writeProto(w, http.StatusOK, rows)
		return
	}
}

func (s *RowStore) unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Unresponsive
}

// changesSince returns the newest state of each row of a table that changed after
// a revision. The caller holds the lock.
func (s *RowStore) changesSince(table string, after uint64) *platformpb.Rows {
	rows := &platformpb.Rows{Revision: float64(s.revision)}
	newest := make(map[string]*platformpb.Row)
	for _, row := range s.log {
		if row.GetTable() == table && row.GetRevision() > float64(after) {
			newest[row.GetKey()] = row
		}
	}
	for _, row := range newest {
		rows.Rows = append(rows.Rows, row)
	}
	slices.SortFunc(rows.GetRows(), func(a, b *platformpb.Row) int { return int(a.GetRevision()) - int(b.GetRevision()) })
	return rows
}

func (s *RowStore) handleTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var txn platformpb.Transaction
	err = errors.CombineErrors(err, CheckTransaction(body))
	if err != nil || protojson.Unmarshal(body, &txn) != nil {
		http.Error(w, fmt.Sprint("cannot be read: ", err), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEraHeader(w)
	for _, c := range txn.GetConditions() {
		if s.rows[c.GetTable()+"/"+c.GetKey()].GetRevision() != c.GetRevision() {
			writeProto(w, http.StatusPreconditionFailed, &platformpb.Rows{Revision: float64(s.revision)})
			return
		}
	}
	for _, row := range txn.GetPuts() {
		s.put(row.GetTable(), row.GetKey(), row.GetValue())
	}
	for _, row := range txn.GetRemoves() {
		s.remove(row.GetTable(), row.GetKey())
	}
	writeProto(w, http.StatusOK, &platformpb.Rows{Revision: float64(s.revision)})
}

func writeProto(w http.ResponseWriter, status int, m proto.Message) {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(body)
}
