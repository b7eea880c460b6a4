package follow

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// Proof states that an edition of the configuration was the newest in the store at a time.
// After a store restore it can be an older edition than the active one.
type Proof struct {
	Edition catalog.Edition
	// Catalog is the configuration, and Raw its text as the operator wrote it; nil if the
	// edition is unchanged.
	Catalog *catalog.Catalog
	Raw     []byte
	// Confirmed is when the call that returned the edition was sent.
	Confirmed clock.Millis
}

// ActiveConfig is the active configuration of a node.
type ActiveConfig struct {
	Edition catalog.Edition
	Raw     []byte
	// Confirmed is when the edition was last proven to be the newest.
	Confirmed clock.Millis
}

// ProofResult is the effect of a proof on the active configuration.
type ProofResult int

// Results of ActiveConfig.Apply.
const (
	// Outdated means that a newer edition is active, to which the proof does not apply.
	Outdated ProofResult = iota
	// Renewed means that the active edition is proven to be the newest as of a later time.
	Renewed
	// Replaced means that the edition of the proof is now the active one.
	Replaced
)

// Apply applies a proof. Only an edition that supersedes the active one replaces it, whatever
// the store returns, so that a revoked permission stays revoked after a store restore.
func (f *ActiveConfig) Apply(p Proof) ProofResult {
	switch {
	case p.Edition.Supersedes(f.Edition) && p.Catalog != nil:
		*f = ActiveConfig{Edition: p.Edition, Raw: p.Raw, Confirmed: p.Confirmed}
		return Replaced
	case p.Edition.SameText(f.Edition) && !f.Edition.IsZero():
		f.Confirmed = max(f.Confirmed, p.Confirmed)
		return Renewed
	default:
		return Outdated
	}
}

// PublishedConfig is the configuration that a reader publishes to its followers.
type PublishedConfig struct {
	ActiveConfig
	// AnsweredAt is when the last call that the store answered was sent, whatever the answer.
	// It shows that the reader reaches the store.
	AnsweredAt clock.Millis
}
