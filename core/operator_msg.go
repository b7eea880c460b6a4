package core

import (
	"encoding/json"

	"github.com/hoistjunction/hoistjunction/wire"
)

// ProposeMsg says that an operator proposes changes.
type ProposeMsg struct {
	// Call names the operator's call that waits for the answer.
	Call     uint64
	ChangeID string
	// Base is the version that the operator looked at; zero for the newest.
	Base     uint64
	Operator string
	// AtMillis is the wall time, in ms since 1970, for the record.
	AtMillis int64
	Changes  []*wire.Change
}

// proposeJSON is how a ProposeMsg is recorded: as the change record that it
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

// CommitCmd writes a change record into the platform's table, in one
// transaction, if the newest version there is still the one before it.
type CommitCmd struct {
	Call   uint64             `json:"call"`
	Record *wire.ChangeRecord `json:"-"`
}

// CommitMsg brings what came of a CommitCmd.
type CommitMsg struct {
	Call   uint64       `json:"call"`
	Result CommitResult `json:"result"`
	// Version is the version that the change id has, when committed.
	Version uint64 `json:"version,omitempty"`
	// Head is the newest version in the table, after a conflict.
	Head uint64 `json:"head,omitempty"`
	// WinnerID, WinnerBy and WinnerAt tell of the change that was first.
	WinnerID string `json:"winner_id,omitempty"`
	WinnerBy string `json:"winner_by,omitempty"`
	WinnerAt int64  `json:"winner_at,omitempty"`
}

// CommitResult is what came of a CommitCmd.
type CommitResult uint8

// The results of a commit.
const (
	// Committed means that the change is in the table, now or from before.
	Committed CommitResult = iota
	// Conflicted means that another change has the version.
	Conflicted
	// CommitUnanswered means that the table gave no answer: the change may be
	// in it or not, now or later.
	CommitUnanswered
)

// ProposedCmd answers an operator's proposal.
type ProposedCmd struct {
	Call  uint64             `json:"call"`
	Reply *wire.ProposeReply `json:"reply"`
}

// MarkLeavingMsg says that an operator wants no more work at an upstream.
type MarkLeavingMsg struct {
	Upstream string `json:"upstream"`
}

// DrainMsg says that this node is to stop.
type DrainMsg struct{}

// ExitCmd says that the node may stop now: nothing is in progress.
type ExitCmd struct{}
