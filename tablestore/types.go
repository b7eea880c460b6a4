package tablestore

import "github.com/hoistjunction/hoistjunction/pool"

// The platform's protocol is JSON over HTTP:
//
//	GET  /table/row?key=K             one row, or 404
//	GET  /table/scan?after=K&to=K     rows between two keys, in order
//	POST /table/txn                   a transaction
//	GET  /objects/NAME                an object, or 404
//	PUT  /objects/NAME                writes an object
//	GET  /vms?since=N                 the list of VMs, or 304

// Row is a row of the table. Value is opaque to the platform.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Condition is a precondition of a transaction: the row with Key has the given
// Value or, if Absent is set, does not exist.
type Condition struct {
	Key    string `json:"key"`
	Absent bool   `json:"absent,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

// Txn is a transaction: it writes all rows if all conditions hold, and no row
// otherwise.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Row       `json:"puts"`
}

// TxnResult reports whether a transaction was committed. If it was rejected,
// Conflicts holds the current rows of the conditions that failed.
type TxnResult struct {
	Committed bool  `json:"committed"`
	Conflicts []Row `json:"conflicts,omitempty"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList struct {
	// Version increases with each change of the list.
	Version uint64         `json:"version"`
	VMs     []pool.Listing `json:"vms"`
}
