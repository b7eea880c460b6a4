package tablestore

import "github.com/hoistjunction/hoistjunction/pool"

// The platform's protocol, as its stand-in serves it: JSON over HTTP.
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

// Condition must hold for a transaction to commit: the row has this value,
// or, where Absent is set, there is no such row.
type Condition struct {
	Key    string `json:"key"`
	Absent bool   `json:"absent,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

// Txn is a transaction: all its rows are written if all its conditions hold,
// and else none.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Row       `json:"puts"`
}

// TxnResult says whether a transaction has committed. If not, it holds the
// rows as they are whose conditions did not hold.
type TxnResult struct {
	Committed bool  `json:"committed"`
	Conflicts []Row `json:"conflicts,omitempty"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList struct {
	// Version rises with each change of the list.
	Version uint64         `json:"version"`
	VMs     []pool.Listing `json:"vms"`
}
