// Package keeper keeps the requests that are quarantined where they outlast all nodes: in
// the store. A node that starts reads them, and so knows after the loss of all nodes what
// they had found out.
package keeper

import (
	"context"
	"expvar"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/ring"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// maxPending bounds what waits to be written. What does not fit is known to this node and
	// its peers, and written by those of them that have lost it too.
	maxPending = 256
	// batchDelay is for how long changes are gathered for one write.
	batchDelay = 50 * time.Millisecond
	// minRetryDelay is the pause after a call that failed, which doubles up to maxRetryDelay:
	// the store may be away for half a minute, and each call is priced.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// ErrRefused means that a store refuses a call for good: it will never be done, however
// often it is made.
var ErrRefused = errors.New("keeper: refused for good")

// Store is where requests are kept. Errors of writes that cannot succeed wrap ErrRefused.
type Store interface {
	// Quarantined returns those that can be read, and an error for each that cannot.
	Quarantined(ctx context.Context) (list []dispatch.Quarantined, unreadable []error, err error)
	// Quarantine keeps requests.
	Quarantine(ctx context.Context, works []dispatch.Quarantined) error
	// Release takes requests away.
	Release(ctx context.Context, works []work.ID) error
}

// change is a request that is to be kept, or not any longer.
type change struct {
	dispatch.Quarantined
	release bool
	// recordedAt is as of when its age counts.
	recordedAt clock.Millis
}

// Keeper keeps requests in a store.
type Keeper struct {
	store  Store
	log    *zap.Logger
	onRead func([]dispatch.Quarantined)
	// firstStart tells that the whole system starts for the first time: nothing is kept yet.
	firstStart bool
	clock      *clock.Clock
	pending    *ring.Ring[change]
	// recentWrites are the last words that were written on requests, as long as a copy may lack
	// them, and returned tells that the store has come back from one. Only Run uses written.
	recentWrites map[work.ID]change
	restored     chan struct{}
	// refused counts the changes that the store refuses for good.
	refused expvar.Int
}

// New returns a keeper. Learn takes what was kept.
func New(store Store, c *clock.Clock, log *zap.Logger, firstStart bool, learn func([]dispatch.Quarantined)) *Keeper {
	return &Keeper{
		store: store, clock: c, log: log, onRead: learn, firstStart: firstStart, pending: ring.New[change](maxPending),
		recentWrites: make(map[work.ID]change), restored: make(chan struct{}, 1),
	}
}

// Refused returns the counter of changes that the store has refused for good.
func (k *Keeper) Refused() *expvar.Int { return &k.refused }

// Keep has a request kept. It does not wait for that.
func (k *Keeper) Keep(w dispatch.Quarantined) { k.enqueue(change{Quarantined: w}) }

// Release has a request kept no longer. It does not wait for that.
func (k *Keeper) Release(id work.ID) {
	k.enqueue(change{Quarantined: dispatch.Quarantined{Work: id}, release: true})
}

func (k *Keeper) enqueue(c change) {
	c.recordedAt = k.clock.Now()
	if !k.pending.Offer(c) {
		k.log.Warn("quarantine_not_kept", zap.Stringer("work", c.Work), zap.Int("waiting", maxPending))
	}
}

// Run reads what is kept, and then writes until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-k.pending.Items():
			clock.Sleep(ctx, batchDelay)
			changes := k.collectBatch(c)
			k.write(ctx, changes)
			k.rememberWrites(changes)
		case <-k.restored:
			k.write(ctx, k.possiblyLost())
		}
	}
}

// StoreReturned notes that the store has come back from a copy, which may lack what was
// written last.
func (k *Keeper) StoreReturned() {
	select {
	case k.restored <- struct{}{}:
	default:
	}
}

// rememberWrites notes changes that were written.
func (k *Keeper) rememberWrites(changes map[work.ID]change) {
	now := k.clock.Now()
	maps.DeleteFunc(k.recentWrites, func(_ work.ID, c change) bool { return now >= c.recordedAt.Add(moment.MaxBackupAge) })
	for id, c := range changes {
		if _, known := k.recentWrites[id]; !known && len(k.recentWrites) >= maxPending {
			k.log.Warn("quarantine_not_remembered", zap.Stringer("work", id), zap.Int("most", maxPending))
			continue
		}
		k.recentWrites[id] = c
	}
}

// possiblyLost returns what a copy may lack, with the ages that requests have now.
func (k *Keeper) possiblyLost() map[work.ID]change {
	k.rememberWrites(nil)
	now := k.clock.Now()
	changes := make(map[work.ID]change, len(k.recentWrites))
	for id, c := range k.recentWrites {
		c.Age, c.recordedAt = c.Age+now.Sub(c.recordedAt), now
		changes[id] = c
	}
	return changes
}

// read reads what is kept, and tells also of nothing: the node waits for it.
func (k *Keeper) read(ctx context.Context) {
	if k.firstStart {
		k.onRead(nil)
		return
	}
	err := k.retry(ctx, "quarantine_not_read", func() error {
		list, unreadable, err := k.store.Quarantined(ctx)
		if err != nil {
			return err
		}
		for _, err := range unreadable {
			k.log.Warn("quarantine_unreadable", logging.Err(err))
		}
		k.log.Info("quarantine_read", zap.Int("requests", len(list)), zap.Int("unreadable", len(unreadable)))
		k.onRead(list)
		return nil
	})
	if err != nil {
		k.log.Error("quarantine_not_read", logging.Err(err))
		k.onRead(nil)
	}
}

// collectBatch returns a change and those that wait behind it; the last word on each request
// counts.
func (k *Keeper) collectBatch(first change) map[work.ID]change {
	changes := map[work.ID]change{first.Work: first}
	for {
		select {
		case c := <-k.pending.Items():
			changes[c.Work] = c
		default:
			return changes
		}
	}
}

func (k *Keeper) write(ctx context.Context, changes map[work.ID]change) {
	var keep []dispatch.Quarantined
	var release []work.ID
	for id, c := range changes {
		if c.release {
			release = append(release, id)
		} else {
			keep = append(keep, c.Quarantined)
		}
	}
	writeAll(ctx, k, keep, k.store.Quarantine, func(w dispatch.Quarantined) work.ID { return w.Work })
	writeAll(ctx, k, release, k.store.Release, func(id work.ID) work.ID { return id })
}

// writeAll writes changes of one kind until the store has taken them. Where it refuses them
// for good, each is written by itself, so that one does not hold up the others.
func writeAll[T any](ctx context.Context, k *Keeper, list []T, call func(context.Context, []T) error, name func(T) work.ID) {
	if len(list) == 0 {
		return
	}
	err := k.retry(ctx, "quarantine_not_written", func() error { return call(ctx, list) })
	if err == nil {
		return
	}
	if len(list) == 1 {
		k.refused.Add(1)
		k.log.Error("quarantine_refused", zap.Stringer("work", name(list[0])), logging.Err(err))
		return
	}
	for _, one := range list {
		writeAll(ctx, k, []T{one}, call, name)
	}
}

// retry tries a call until it succeeds or the context ends. It returns an error that wraps
// ErrRefused for one that never will.
func (k *Keeper) retry(ctx context.Context, event string, call func() error) error {
	for pause := minRetryDelay; ctx.Err() == nil; pause = min(2*pause, maxRetryDelay) {
		err := call()
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		k.log.Info(event, logging.Err(err))
		clock.Sleep(ctx, pause)
	}
	return nil
}
