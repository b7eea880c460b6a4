package peering

import (
	"context"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
)

// register leaves the node's address at the registry.
func (p *Peering) register(ctx context.Context) error {
	err := p.registry.Register(ctx, p.directory.self)
	if err == nil {
		p.registeredAt.Store(int64(p.clock.Now()))
	}
	return err
}

// StoreReturned notes that the store has come back from a copy.
func (p *Peering) StoreReturned() {
	select {
	case p.storeRestored <- struct{}{}:
	default:
	}
}

// RestoreRegistration registers the node again whenever the store may have lost its registration. Nodes
// that were registered for longer than a copy reaches back stand in it. The others were few,
// and take the same turns as at a start.
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
