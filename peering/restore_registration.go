package peering

import (
	"context"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/momentwire"
)

// register writes the node's registration.
func (p *Peering) register(ctx context.Context) error {
	m := p.registration()
	err := p.registry.Register(ctx, m)
	if err == nil {
		p.registeredAt.Store(int64(p.clock.Now()))
		p.comparison.doubt.setOwn(momentwire.MomentOf(m.GetVouched()))
	}
	return err
}

// isRegistered reports whether this node has registered, or a registration of an earlier start that names
// an era exists.
func (p *Peering) isRegistered() bool {
	return p.registeredAt.Load() != int64(clock.Never) || !p.comparison.doubt.ownEra().IsZero()
}

// StoreRestored notifies RestoreRegistration that the store was restored from a backup.
func (p *Peering) StoreRestored() {
	select {
	case p.storeRestored <- struct{}{}:
	default:
	}
}

// RestoreRegistration registers the node again after each restore of the store that may have
// lost its registration, or whose era its registration does not vouch for. Backups contain the
// registrations of nodes that registered longer ago than a backup may date back. The other nodes
// are few, and take the same turns as at a start.
func (p *Peering) RestoreRegistration(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.storeRestored:
		}
		if !p.isRegistered() {
			continue
		}
		inBackup := p.clock.Now() >= clock.Millis(p.registeredAt.Load()).Add(moment.MaxBackupAge)
		if inBackup && p.comparison.doubt.vouchesFor(p.local.ProvenIn()) {
			continue
		}
		clock.Sleep(ctx, (p.registrationDelay % spreadFor(p.directory.self.GetStrength())).Duration())
		p.retry(ctx, "not_registered", func() error { return p.register(ctx) })
	}
}
