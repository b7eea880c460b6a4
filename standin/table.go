package standin

import (
	"bytes"
	"slices"

	"github.com/hoistjunction/hoistjunction/tablestore"
)

// table holds the rows of the table service by key.
type table struct {
	rows map[string][]byte
}

func newTable() table { return table{rows: make(map[string][]byte)} }

func (t *table) get(key string) ([]byte, bool) {
	value, ok := t.rows[key]
	return value, ok
}

// scan returns the rows with after < key < to, in the order of the keys.
func (t *table) scan(after, to string) []tablestore.Row {
	rows := []tablestore.Row{}
	for key, value := range t.rows {
		if key > after && key < to {
			rows = append(rows, tablestore.Row{Key: key, Value: value})
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
	return rows
}

// commit applies a transaction, or returns the rows that violate its conditions.
func (t *table) commit(txn tablestore.Txn) tablestore.TxnResult {
	var conflicts []tablestore.Row
	for _, c := range txn.Conditions {
		value, ok := t.rows[c.Key]
		if c.Absent == !ok && (c.Absent || bytes.Equal(value, c.Value)) {
			continue
		}
		conflicts = append(conflicts, tablestore.Row{Key: c.Key, Value: value})
	}
	if len(conflicts) > 0 {
		return tablestore.TxnResult{Conflicts: conflicts}
	}
	for _, row := range txn.Puts {
		t.rows[row.Key] = row.Value
	}
	return tablestore.TxnResult{Committed: true}
}
