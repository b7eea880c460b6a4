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

// maxMissedHeartbeats is after how many missed heartbeats an entry lapses.
const maxMissedHeartbeats = 3

// RowStore is a stand-in for the users' platform's store: rows in tables with
// conditional writes and feeds, and the list of servers that lapses.
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
	// era counts the returns from a copy, and unnamed tells that answers do not name it.
	era     uint64
	omitEra bool
	// backup is the state that the store returns to.
	backup storeBackup
}

// storeCapacity is how long the store takes for an answer, and how many calls it takes a second.
type storeCapacity struct {
	latency time.Duration
	reads   rateLimiter
	writes  rateLimiter
}

// SetCapacity has each answer take a time, and calls over so many reads and writes a second be
// refused. Servers' heartbeats are not counted.
func (s *RowStore) SetCapacity(answer time.Duration, reads, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = &storeCapacity{latency: answer, reads: newRateLimiter(reads), writes: newRateLimiter(writes)}
}

// admitCall takes a call, and returns how long it takes; ok is false where it is one too many. The
// caller holds the lock.
func (s *RowStore) admitCall(r *http.Request, now time.Time) (takes time.Duration, ok bool) {
	if s.capacity == nil || strings.HasPrefix(r.URL.Path, "/beat/") {
		return 0, true
	}
	if r.Method == http.MethodGet {
		return s.capacity.latency, s.capacity.reads.allow(now)
	}
	return s.capacity.latency, s.capacity.writes.allow(now)
}

// RowStoreFaults are what goes wrong with a store.
type RowStoreFaults struct {
	// Down answers 503 to everything, Silent answers nothing.
	Down         bool `json:"down"`
	Unresponsive bool `json:"silent"`
	// BatchDelayMS delays each answer.
	ResponseDelayMS int64 `json:"slow_ms"`
	// LoseWriteResponses does writes and breaks their connection.
	LoseWriteResponses bool `json:"lose_writes"`
	// DropHistory drops the history of changes at once.
	DropHistory bool `json:"forget"`
}

// heartbeatRecord is when an entry was last renewed, and for how long that holds.
type heartbeatRecord struct {
	receivedAt time.Time
	interval   time.Duration
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{rows: make(map[string]*platformpb.Row), heartbeats: make(map[string]heartbeatRecord), changed: make(chan struct{}), started: time.Now(), era: 1}
}

// Handler serves the platform's calls, the servers' heartbeats at /beat/ID,
// and the store's faults at /faults.
func (s *RowStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.withFaults(withQueryCheck(readRules, s.handleGet)))
	mux.HandleFunc("GET /rows-feed", s.withFaults(withQueryCheck(feedRules, s.handleFeed)))
	mux.HandleFunc("POST /rows-tx", s.withFaults(s.handleTransaction))
	mux.HandleFunc("POST /beat/{id}", s.withFaults(s.handleHeartbeat))
	mux.Handle("POST /faults", jsonSetHandler(s.SetFaults))
	return mux
}

// SetFaults changes what goes wrong.
func (s *RowStore) SetFaults(f RowStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.DropHistory {
		s.log, s.historyStart = nil, s.revision
		s.notifyFeeds()
	}
}

func (s *RowStore) withFaults(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.setEraHeader(w)
		f := s.faults
		s.removeExpired(time.Now())
		takes, admitted := s.admitCall(r, time.Now())
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
		time.Sleep(takes + time.Duration(f.ResponseDelayMS)*time.Millisecond)
		call(w, r)
	}
}

// maxUnanswered bounds for how long a call is left without an answer.
const maxUnanswered = 10 * time.Second

// leaveUnanswered leaves a call without an answer until its caller gives up. The body must
// be read first: net/http sees a caller leave only then.
func leaveUnanswered(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(maxUnanswered):
	}
	panic(http.ErrAbortHandler)
}

// Put writes a row, as the operator does.
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

func (s *RowStore) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeExpired removes the entries whose servers have been silent.
func (s *RowStore) removeExpired(now time.Time) {
	for id, b := range s.heartbeats {
		if now.Sub(b.receivedAt) > maxMissedHeartbeats*b.interval {
			delete(s.heartbeats, id)
			s.remove("servers", id)
		}
	}
}

// handleHeartbeat takes a server's entry. It counts as a change only if it differs.
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
	if known := s.rows["servers/"+id]; known == nil || string(known.GetValue()) != string(value) {
		s.put("servers", id, value)
	}
}

func (s *RowStore) handleGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	s.setEraHeader(w)
	answer := &platformpb.Rows{Revision: float64(s.revision), ClockMs: float64(time.Since(s.started).Milliseconds())}
	for _, row := range s.rows {
		to := query.Get("targetVersion")
		if row.GetTable() == query.Get("table") && row.GetKey() >= query.Get("from") && (to == "" || row.GetKey() < to) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.GetRows(), func(a, b *platformpb.Row) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	writeProto(w, http.StatusOK, answer)
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
		answer, gone, changed := s.changesSince(query.Get("table"), after), after < s.historyStart || after > s.revision, s.changed
		s.mu.Unlock()
		if gone {
			http.Error(w, "forgotten", http.StatusGone)
			return
		}
		if len(answer.GetRows()) == 0 {
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
		writeProto(w, http.StatusOK, answer)
		return
	}
}

func (s *RowStore) unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Unresponsive
}

// changesSince returns the newest state of each row of a table that has changed.
func (s *RowStore) changesSince(table string, after uint64) *platformpb.Rows {
	answer := &platformpb.Rows{Revision: float64(s.revision)}
	newest := make(map[string]*platformpb.Row)
	for _, row := range s.log {
		if row.GetTable() == table && row.GetRevision() > float64(after) {
			newest[row.GetKey()] = row
		}
	}
	for _, row := range newest {
		answer.Rows = append(answer.Rows, row)
	}
	slices.SortFunc(answer.GetRows(), func(a, b *platformpb.Row) int { return int(a.GetRevision()) - int(b.GetRevision()) })
	return answer
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
	// A caller that has left needs no answer.
	_, _ = w.Write(body)
}
