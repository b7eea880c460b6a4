package tablestore

import (
	"fmt"
)

// Where things lie in the table and the object store.
const (
	headKey        = "config/head"
	changeIDPrefix = "config/id/"
	recordPrefix   = "config/v/"
	snapshotKey    = "config/snapshot"
	nodePrefix     = "node/"
	claimPrefix    = "claim/"
	snapshotObject = "config-"
)

// maxRecordsPerRead bounds how many change records are read at once.
const maxRecordsPerRead = 256

func recordKey(version uint64) string { return fmt.Sprintf("%s%016x", recordPrefix, version) }

// Store keeps what must last or be agreed on: claims, configuration and the
// records of nodes.
type Store struct {
	client *Client
}

// NewStore returns a store on a platform client.
func NewStore(c *Client) *Store { return &Store{client: c} }
