package tablestore

import (
	"fmt"
)

// Row keys, row key prefixes and object name prefixes in the platform's table and
// object store.
const (
	headKey        = "config/head"
	changeIDPrefix = "config/id/"
	recordPrefix   = "config/v/"
	snapshotKey    = "config/snapshot"
	nodePrefix     = "node/"
	claimPrefix    = "claim/"
	snapshotObject = "config-"
)

// maxRecordsPerRead bounds how many change records one call of Changes reads.
const maxRecordsPerRead = 256

func recordKey(version uint64) string { return fmt.Sprintf("%s%016x", recordPrefix, version) }

// Store reads and writes shared, durable data in the platform's table: claims,
// configuration and node records.
type Store struct {
	client *Client
}

// NewStore returns a store that uses the given client.
func NewStore(c *Client) *Store { return &Store{client: c} }
