package follow

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// Proof is what a reading has shown: that an edition of the configuration was the newest at a
// time. Where a store has come back from a copy, that may be an older one than is in force.
type Proof struct {
	Edition catalog.Edition
	// Catalog is the configuration, and Raw its text as the operator wrote it; nil where the
	// edition was told before.
	Catalog *catalog.Catalog
	Raw     []byte
	// Confirmed is when the call that showed it was sent.
	Confirmed clock.Millis
}

// ActiveConfig is the configuration that a node obeys.
type ActiveConfig struct {
	Edition catalog.Edition
	Raw     []byte
	// Confirmed is when it was last known to be the newest.
	Confirmed clock.Millis
}

// ProofResult says what has become of a proof.
type ProofResult int

// What may become of it.
const (
	// Outdated: a newer edition is in force, which this proves nothing of.
	Outdated ProofResult = iota
	// Renewed: the edition in force is known to be the newest as of a later time.
	Renewed
	// Replaced: the edition is in force from now on.
	Replaced
)

// Apply takes in a proof. An edition that was confirmed once is given up for one that
// supersedes it alone, whatever a store shows: what was revoked stays revoked.
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

// PublishedConfig is what a node that reads for others passes on of the configuration.
type PublishedConfig struct {
	ActiveConfig
	// AnsweredAt is when the last call was sent that the store has answered, whatever that
	// showed: the node that passes it on has the store.
	AnsweredAt clock.Millis
}
