package core

import (
	"encoding/json"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// PollListCmd reads the platform's list of VMs.
type PollListCmd struct{}

// ListMsg brings the platform's list of VMs, late as it is.
type ListMsg struct {
	Upstreams []pool.Listing `json:"upstreams"`
}

// PollHeadCmd reads which version of the configuration is the newest.
type PollHeadCmd struct{}

// HeadMsg brings the newest version in the platform's table.
type HeadMsg struct {
	Version uint64 `json:"version"`
}

// RegisterCmd writes this node's own record into the platform's table.
type RegisterCmd struct {
	Node *wire.NodeRecord `json:"node"`
}

// PollNodesCmd reads the records of all nodes from the platform's table.
type PollNodesCmd struct{}

// NodesMsg brings the records of all nodes.
type NodesMsg struct {
	Nodes []*wire.NodeRecord `json:"nodes"`
}

// FetchChangesCmd reads the change records after a version: from a peer where
// Address is set, and else from the platform.
type FetchChangesCmd struct {
	After   uint64 `json:"after"`
	Address string `json:"address,omitempty"`
}

// ChangesMsg brings change records in order, or a whole configuration and the
// records after it.
type ChangesMsg struct {
	Snapshot *wire.Config         `json:"snapshot,omitempty"`
	Records  []*wire.ChangeRecord `json:"records,omitempty"`
}

// FetchFailedMsg says that a FetchChangesCmd brought nothing.
type FetchFailedMsg struct{}

// SnapshotCmd writes a whole configuration into the object store.
type SnapshotCmd struct {
	Config *wire.Config `json:"-"`
}

// changesJSON is how a ChangesMsg is recorded.
type changesJSON struct {
	Snapshot json.RawMessage   `json:"snapshot,omitempty"`
	Records  []json.RawMessage `json:"records,omitempty"`
}

// MarshalJSON implements json.Marshaler: the schema's messages have a JSON
// form of their own.
func (m ChangesMsg) MarshalJSON() ([]byte, error) {
	var out changesJSON
	var err error
	if m.Snapshot != nil {
		if out.Snapshot, err = marshalProto(m.Snapshot); err != nil {
			return nil, err
		}
	}
	if out.Records, err = marshalProtos(m.Records); err != nil {
		return nil, err
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *ChangesMsg) UnmarshalJSON(data []byte) error {
	var in changesJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	if in.Snapshot != nil {
		m.Snapshot = &wire.Config{}
		if err := unmarshalProto(in.Snapshot, m.Snapshot); err != nil {
			return err
		}
	}
	for _, raw := range in.Records {
		r := &wire.ChangeRecord{}
		if err := unmarshalProto(raw, r); err != nil {
			return err
		}
		m.Records = append(m.Records, r)
	}
	return nil
}
