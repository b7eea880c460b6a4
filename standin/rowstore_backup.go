package standin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// storeBackup is a copy of a store's state that the store can be restored from.
type storeBackup struct {
	rows         map[string]*platformpb.Row
	log          []*platformpb.Row
	revision     uint64
	historyStart uint64
}

// Backup saves the present state for Restore.
func (s *RowStore) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = storeBackup{rows: maps.Clone(s.rows), log: slices.Clone(s.log), revision: s.revision, historyStart: s.historyStart}
}

// Restore restores the store from the last backup, or to an empty state if there
// is none. Later writes are lost, their revisions are used again, and the era
// increases.
func (s *RowStore) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backup
	s.rows, s.log, s.revision, s.historyStart = maps.Clone(b.rows), slices.Clone(b.log), b.revision, b.historyStart
	if s.rows == nil {
		s.rows = make(map[string]*platformpb.Row)
	}
	s.era++
	s.notifyFeeds()
}

// Value returns the value of a row, or nil if the row does not exist.
func (s *RowStore) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table+"/"+key].GetValue()
}

// OmitEra makes responses omit the store's era, like a store without eras.
func (s *RowStore) OmitEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omitEra = true
}

// setEraHeader sets the Store-Era header of a response that reports the store's
// present state. The caller holds the lock.
func (s *RowStore) setEraHeader(w http.ResponseWriter) {
	if !s.omitEra {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}
