package tablestore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/once"
)

// Claim gives each key that has no claim the one asked for, and returns the
// claims that stand, in the order of the keys. Claims that are there already
// take a second transaction for the rest.
func (s *Store) Claim(ctx context.Context, claims []core.KeyClaim) ([]core.KeyClaim, error) {
	standing := make(map[string]once.Claim)
	pending := claims
	for len(pending) > 0 {
		result, err := s.client.Commit(ctx, claimTxn(pending))
		if err != nil {
			return nil, err
		}
		if result.Committed {
			break
		}
		if len(result.Conflicts) == 0 {
			return nil, errors.Wrap(ErrNoResponse, "a refused transaction names no conflict")
		}
		if err := addExistingClaims(standing, result.Conflicts); err != nil {
			return nil, err
		}
		pending = withoutExisting(pending, standing)
	}
	return mergeClaims(claims, standing), nil
}

func claimTxn(claims []core.KeyClaim) Txn {
	var txn Txn
	for _, c := range claims {
		key := claimPrefix + c.Key
		value, _ := json.Marshal(c.Claim)
		txn.Conditions = append(txn.Conditions, Condition{Key: key, Absent: true})
		txn.Puts = append(txn.Puts, Row{Key: key, Value: value})
	}
	return txn
}

func addExistingClaims(standing map[string]once.Claim, rows []Row) error {
	for _, row := range rows {
		var c once.Claim
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return errors.Wrapf(ErrNoResponse, "row %q: %v", row.Key, err)
		}
		standing[row.Key[len(claimPrefix):]] = c
	}
	return nil
}

func withoutExisting(claims []core.KeyClaim, standing map[string]once.Claim) []core.KeyClaim {
	var rest []core.KeyClaim
	for _, c := range claims {
		if _, taken := standing[c.Key]; !taken {
			rest = append(rest, c)
		}
	}
	return rest
}

func mergeClaims(claims []core.KeyClaim, standing map[string]once.Claim) []core.KeyClaim {
	merged := make([]core.KeyClaim, 0, len(claims))
	for _, c := range claims {
		if taken, ok := standing[c.Key]; ok {
			c.Claim = taken
		}
		merged = append(merged, c)
	}
	return merged
}
