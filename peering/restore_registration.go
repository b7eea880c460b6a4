package peering

import (
	"context"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
)

// register writes the node's registration.
func (p *Peering) register(ctx context.Context) error {
	err := p.registry.Register(ctx, p.directory.self)
	if err == nil {
		p.registeredAt.Store(int64(p.clock.Now()))
	}
	return err
}

// StoreRestored notifies RestoreRegistration that the store was restored from a backup.
func (p *Peering) StoreRestored() {
	select {
	case p.storeRestored <- struct{}{}:
	default:
	}
}

// RestoreRegistration registers the node again after each restore of the store that may have
// lost its registration. Backups contain the registrations of nodes that registered longer ago
// than a backup may date back. The other nodes are few, and take the same turns as at a start.
func (p *Peering) RestoreRegistration(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.storeRestored:
		}
		if p.clock.Now() >= clock.Millis(p.registeredAt.Load()).Add(moment.MaxBackupAge) {
			continue
		}
		clock.Sleep(ctx, (p.registrationDelay % spreadFor(p.directory.self.GetStrength())).Duration())
		p.retry(ctx, "not_registered", func() error { return p.register(ctx) })
	}
}
