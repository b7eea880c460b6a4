package tablestore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/once"
)

// Claim writes the requested claim for each key that has none, and returns the
// claim of every key, in the order of the keys. The platform rejects a transaction
// if any of its keys already has a claim; Claim then retries with the other keys.
func (s *Store) Claim(ctx context.Context, claims []core.KeyClaim) ([]core.KeyClaim, error) {
	existing := make(map[string]once.Claim)
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
			return nil, errors.Wrap(ErrNoResponse, "rejected transaction lists no conflicts")
		}
		if err := addExistingClaims(existing, result.Conflicts); err != nil {
			return nil, err
		}
		pending = withoutExisting(pending, existing)
	}
	return mergeClaims(claims, existing), nil
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

func addExistingClaims(existing map[string]once.Claim, rows []Row) error {
	for _, row := range rows {
		var c once.Claim
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return errors.Wrapf(ErrNoResponse, "row %q: %v", row.Key, err)
		}
		existing[row.Key[len(claimPrefix):]] = c
	}
	return nil
}

func withoutExisting(claims []core.KeyClaim, existing map[string]once.Claim) []core.KeyClaim {
	var remaining []core.KeyClaim
	for _, c := range claims {
		if _, exists := existing[c.Key]; !exists {
			remaining = append(remaining, c)
		}
	}
	return remaining
}

// mergeClaims returns the claims with existing ones in place of requested ones.
func mergeClaims(claims []core.KeyClaim, existing map[string]once.Claim) []core.KeyClaim {
	merged := make([]core.KeyClaim, 0, len(claims))
	for _, c := range claims {
		if claim, ok := existing[c.Key]; ok {
			c.Claim = claim
		}
		merged = append(merged, c)
	}
	return merged
}
