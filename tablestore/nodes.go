package tablestore

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/wire"
)

// Register writes a node's record.
func (s *Store) Register(ctx context.Context, n *wire.NodeRecord) error {
	value, err := proto.Marshal(n)
	if err != nil {
		return errors.Wrap(err, "tablestore: node")
	}
	_, err = s.client.Commit(ctx, Txn{Puts: []Row{{Key: nodePrefix + n.GetName(), Value: value}}})
	return err
}

// Nodes returns the records of all nodes that have registered.
func (s *Store) Nodes(ctx context.Context) ([]*wire.NodeRecord, error) {
	rows, err := s.client.Scan(ctx, nodePrefix, nodePrefix+"\xff")
	if err != nil {
		return nil, err
	}
	var nodes []*wire.NodeRecord
	for _, row := range rows {
		n := &wire.NodeRecord{}
		if err := proto.Unmarshal(row.Value, n); err != nil {
			return nil, errors.Mark(err, ErrNoResponse)
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}
