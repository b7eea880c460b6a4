package core

import (
	"encoding/json"

	"github.com/hoistjunction/hoistjunction/wire"
)

// ProposeMsg proposes an operator's configuration changes.
type ProposeMsg struct {
	// Call is the id of the operator's call that waits for the answer.
	Call     uint64
	ChangeID string
	// Base is the version that the changes are based on; zero selects the active version.
	Base     uint64
	Operator string
	// AtMillis is the wall clock time for the change record, in ms since 1970.
	AtMillis int64
	Changes  []*wire.Change
}

// proposeJSON is the recorded form of a ProposeMsg. It contains the change record that the proposal
// would become.
type proposeJSON struct {
	Call   uint64          `json:"call"`
	Base   uint64          `json:"base"`
	Record json.RawMessage `json:"record"`
}

// MarshalJSON implements json.Marshaler.
func (m ProposeMsg) MarshalJSON() ([]byte, error) {
	raw, err := marshalProto(&wire.ChangeRecord{
		ChangeId: m.ChangeID, Operator: m.Operator, AtMs: m.AtMillis, Changes: m.Changes,
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(proposeJSON{Call: m.Call, Base: m.Base, Record: raw})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *ProposeMsg) UnmarshalJSON(data []byte) error {
	var in proposeJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	r := &wire.ChangeRecord{}
	if err := unmarshalProto(in.Record, r); err != nil {
		return err
	}
	*m = ProposeMsg{
		Call: in.Call, Base: in.Base, ChangeID: r.GetChangeId(),
		Operator: r.GetOperator(), AtMillis: r.GetAtMs(), Changes: r.GetChanges(),
	}
	return nil
}

// CommitCmd writes a change record into the platform's table, in one transaction and only if the
// newest version in the table is the one before the record's.
type CommitCmd struct {
	Call   uint64             `json:"call"`
	Record *wire.ChangeRecord `json:"-"`
}

// CommitMsg reports the result of a CommitCmd.
type CommitMsg struct {
	Call   uint64       `json:"call"`
	Result CommitResult `json:"result"`
	// Version is the version of the committed change; zero if it was not committed.
	Version uint64 `json:"version,omitempty"`
	// Head is the newest version in the table after a conflict.
	Head uint64 `json:"head,omitempty"`
	// WinnerID, WinnerBy and WinnerAt are the change id, operator and time of the change that was
	// committed first, after a conflict.
	WinnerID string `json:"winner_id,omitempty"`
	WinnerBy string `json:"winner_by,omitempty"`
	WinnerAt int64  `json:"winner_at,omitempty"`
}

// CommitResult is the result of a CommitCmd.
type CommitResult uint8

// The commit results.
const (
	// Committed means that the change is in the table, from this CommitCmd or an earlier one.
	Committed CommitResult = iota
	// Conflicted means that another change has taken the version.
	Conflicted
	// CommitUnanswered means that the table did not answer: the change may or may not be in the
	// table, and may still be written later.
	CommitUnanswered
)

// ProposedCmd sends the answer to an operator's proposal.
type ProposedCmd struct {
	Call  uint64             `json:"call"`
	Reply *wire.ProposeReply `json:"reply"`
}

// MarkLeavingMsg requests, for an operator, that an upstream get no new work.
type MarkLeavingMsg struct {
	Upstream string `json:"upstream"`
}

// DrainMsg starts a planned stop of this node.
type DrainMsg struct{}

// ExitCmd reports that the drain is complete and the process may exit.
type ExitCmd struct{}
