package core

import (
	"encoding/json"

	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// PollListCmd reads the platform's list of VMs.
type PollListCmd struct{}

// ListMsg carries the platform's list of VMs. The list lags behind the actual state.
type ListMsg struct {
	Upstreams []pool.Listing `json:"upstreams"`
}

// PollHeadCmd reads the newest configuration version in the platform's table.
type PollHeadCmd struct{}

// HeadMsg carries the newest configuration version in the platform's table.
type HeadMsg struct {
	Version uint64 `json:"version"`
}

// RegisterCmd writes this node's own record into the platform's table.
type RegisterCmd struct {
	Node *wire.NodeRecord `json:"node"`
}

// PollNodesCmd reads the records of all nodes from the platform's table.
type PollNodesCmd struct{}

// NodesMsg carries node records, usually those of all nodes in the platform's table.
type NodesMsg struct {
	Nodes []*wire.NodeRecord `json:"nodes"`
}

// FetchChangesCmd reads the change records after a version, from the peer at Address if it is set
// and from the platform otherwise.
type FetchChangesCmd struct {
	After   uint64 `json:"after"`
	Address string `json:"address,omitempty"`
}

// ChangesMsg carries change records in order of version. If Snapshot is set, it is a full
// configuration and the records follow it.
type ChangesMsg struct {
	Snapshot *wire.Config         `json:"snapshot,omitempty"`
	Records  []*wire.ChangeRecord `json:"records,omitempty"`
}

// FetchFailedMsg reports that a FetchChangesCmd failed.
type FetchFailedMsg struct{}

// SnapshotCmd writes a full configuration into the object store.
type SnapshotCmd struct {
	Config *wire.Config `json:"-"`
}

// changesJSON is the recorded form of a ChangesMsg.
type changesJSON struct {
	Snapshot json.RawMessage   `json:"snapshot,omitempty"`
	Records  []json.RawMessage `json:"records,omitempty"`
}

// MarshalJSON implements json.Marshaler. Protobuf messages need the protobuf JSON encoding.
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
