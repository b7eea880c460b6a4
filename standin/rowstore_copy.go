package standin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// storeBackup is a state of a store that it can return to.
type storeBackup struct {
	rows         map[string]*platformpb.Row
	log          []*platformpb.Row
	revision     uint64
	historyStart uint64
}

// Backup keeps the state that Return goes back to.
func (s *RowStore) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = storeBackup{rows: maps.Clone(s.rows), log: slices.Clone(s.log), revision: s.revision, historyStart: s.historyStart}
}

// Restore has the store come back from its copy, or from nothing: what was written since is
// gone, and its revisions are given out again.
func (s *RowStore) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.backup
	s.rows, s.log, s.revision, s.historyStart = maps.Clone(c.rows), slices.Clone(c.log), c.revision, c.historyStart
	if s.rows == nil {
		s.rows = make(map[string]*platformpb.Row)
	}
	s.era++
	s.notifyFeeds()
}

// Value returns what a row holds, nil for none.
func (s *RowStore) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table+"/"+key].GetValue()
}

// OmitEra has answers not name the store's era, as a store does that knows none.
func (s *RowStore) OmitEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omitEra = true
}

// setEraHeader names the store's era in the head of an answer that tells what the store holds now.
// The caller holds the lock.
func (s *RowStore) setEraHeader(w http.ResponseWriter) {
	if !s.omitEra {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}
