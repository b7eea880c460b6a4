package tablestore

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Head returns the newest version of the configuration; zero for none.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	row, err := s.client.Row(ctx, headKey)
	if errors.Is(err, ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return parseVersion(row.Value)
}

func parseVersion(value []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, errors.Mark(err, ErrNoResponse)
	}
	return n, nil
}

func formatVersion(n uint64) []byte { return strconv.AppendUint(nil, n, 10) }

// Commit writes a change record as the next version, if it is the next and
// its change id is new.
func (s *Store) Commit(ctx context.Context, call uint64, r *wire.ChangeRecord) core.CommitMsg {
	msg := core.CommitMsg{Call: call, Result: core.CommitUnanswered}
	value, err := proto.Marshal(r)
	if err != nil {
		return msg
	}
	result, err := s.client.Commit(ctx, commitTxn(r, value))
	if err != nil {
		return msg
	}
	if result.Committed {
		msg.Result = core.Committed
		msg.Version = r.GetVersion()
		return msg
	}
	return s.conflictResult(ctx, msg, r, result.Conflicts)
}

func commitTxn(r *wire.ChangeRecord, value []byte) Txn {
	idKey := changeIDPrefix + r.GetChangeId()
	head := Condition{Key: headKey, Value: formatVersion(r.GetVersion() - 1)}
	if r.GetVersion() == 1 {
		head = Condition{Key: headKey, Absent: true}
	}
	return Txn{
		Conditions: []Condition{head, {Key: idKey, Absent: true}},
		Puts: []Row{
			{Key: headKey, Value: formatVersion(r.GetVersion())},
			{Key: idKey, Value: formatVersion(r.GetVersion())},
			{Key: recordKey(r.GetVersion()), Value: value},
		},
	}
}

// conflictResult finds out why a commit was refused: its change id has been
// committed before, or another change has its version.
func (s *Store) conflictResult(ctx context.Context, msg core.CommitMsg, r *wire.ChangeRecord, rows []Row) core.CommitMsg {
	for _, row := range rows {
		n, err := parseVersion(row.Value)
		if err != nil {
			return msg
		}
		if row.Key == changeIDPrefix+r.GetChangeId() {
			msg.Result = core.Committed
			msg.Version = n
			return msg
		}
		msg.Head = n
	}
	msg.Result = core.Conflicted
	if winner, err := s.record(ctx, r.GetVersion()); err == nil {
		msg.WinnerID, msg.WinnerBy, msg.WinnerAt = winner.GetChangeId(), winner.GetOperator(), winner.GetAtMs()
	}
	return msg
}

func (s *Store) record(ctx context.Context, version uint64) (*wire.ChangeRecord, error) {
	row, err := s.client.Row(ctx, recordKey(version))
	if err != nil {
		return nil, err
	}
	r := &wire.ChangeRecord{}
	return r, proto.Unmarshal(row.Value, r)
}

// Changes returns what a node at a version is missing: the records after it,
// or the newest whole configuration when there are too many.
func (s *Store) Changes(ctx context.Context, after uint64) (core.ChangesMsg, error) {
	var msg core.ChangesMsg
	head, err := s.Head(ctx)
	if err != nil {
		return msg, err
	}
	if head > after+maxRecordsPerRead {
		if snapshot, err := s.snapshot(ctx); err == nil && snapshot.GetVersion() > after {
			msg.Snapshot = snapshot
			after = snapshot.GetVersion()
		}
	}
	rows, err := s.client.Scan(ctx, recordKey(after), recordKey(after+maxRecordsPerRead+1))
	if err != nil {
		return msg, err
	}
	for _, row := range rows {
		r := &wire.ChangeRecord{}
		if err := proto.Unmarshal(row.Value, r); err != nil {
			return msg, errors.Mark(err, ErrNoResponse)
		}
		msg.Records = append(msg.Records, r)
	}
	return msg, nil
}

// PutSnapshot writes a whole configuration, and then the row that names it.
// The row may go back to an older snapshot when two nodes race; the records
// after that one make up for it.
func (s *Store) PutSnapshot(ctx context.Context, c *wire.Config) error {
	data, err := proto.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "tablestore: snapshot")
	}
	name := snapshotObject + strconv.FormatUint(c.GetVersion(), 10)
	if err := s.client.PutObject(ctx, name, data); err != nil {
		return err
	}
	_, err = s.client.Commit(ctx, Txn{Puts: []Row{{Key: snapshotKey, Value: []byte(name)}}})
	return err
}

func (s *Store) snapshot(ctx context.Context) (*wire.Config, error) {
	row, err := s.client.Row(ctx, snapshotKey)
	if err != nil {
		return nil, err
	}
	data, err := s.client.Object(ctx, string(row.Value))
	if err != nil {
		return nil, err
	}
	c := &wire.Config{}
	return c, proto.Unmarshal(data, c)
}
