// Package keeper stores the quarantined requests in the store, where they survive the loss of all
// nodes. A node reads them when it starts.
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
	// maxPending bounds the number of changes that wait to be written. A change beyond it is still
	// known to this node and its peers, and is written by any peer that also observed the crash.
	maxPending = 256
	// batchDelay is how long changes are collected for one write.
	batchDelay = 50 * time.Millisecond
	// minRetryDelay is the delay after a failed call. It doubles with each failure, up to
	// maxRetryDelay. The store may be unavailable for half a minute, and each call is billed.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// ErrRefused means that the store permanently refuses a call, so that retrying it is useless.
var ErrRefused = errors.New("keeper: permanently refused by the store")

// Store stores quarantined requests. Errors of writes that cannot succeed wrap ErrRefused.
type Store interface {
	// Quarantined returns the readable requests, and an error for each unreadable one.
	Quarantined(ctx context.Context) (list []dispatch.Quarantined, unreadable []error, err error)
	// Quarantine adds requests.
	Quarantine(ctx context.Context, works []dispatch.Quarantined) error
	// Release removes requests.
	Release(ctx context.Context, works []work.ID) error
}

// change is a change to the store: adding or releasing a request.
type change struct {
	dispatch.Quarantined
	release bool
	// recordedAt is the time to which the request's age refers.
	recordedAt clock.Millis
}

// Keeper writes quarantined requests to a store.
type Keeper struct {
	store  Store
	log    *zap.Logger
	onRead func([]dispatch.Quarantined)
	// firstStart is set if the whole system starts for the first time, so that the store contains
	// no requests.
	firstStart bool
	clock      *clock.Clock
	pending    *ring.Ring[change]
	// recentWrites contains the last change written for each request, for as long as a restored
	// backup may lack it. It is only used by Run. restored signals that the store was restored
	// from a backup.
	recentWrites map[work.ID]change
	restored     chan struct{}
	// storeBack signals that the store has answered another call. reading is set while Run reads the stored
	// requests, and is only used by it.
	storeBack chan struct{}
	reading   bool
	// refused counts the changes that the store has permanently refused.
	refused expvar.Int
}

// New returns a keeper. Run calls onRead once with the requests read from the store.
func New(store Store, c *clock.Clock, log *zap.Logger, firstStart bool, onRead func([]dispatch.Quarantined)) *Keeper {
	return &Keeper{
		store: store, clock: c, log: log, onRead: onRead, firstStart: firstStart, pending: ring.New[change](maxPending),
		recentWrites: make(map[work.ID]change), restored: make(chan struct{}, 1),
		storeBack: make(chan struct{}, 1),
	}
}

// Refused returns the counter of changes that the store has permanently refused.
func (k *Keeper) Refused() *expvar.Int { return &k.refused }

// Keep adds a request to the store asynchronously.
func (k *Keeper) Keep(w dispatch.Quarantined) { k.enqueue(change{Quarantined: w}) }

// Release removes a request from the store asynchronously.
func (k *Keeper) Release(id work.ID) {
	k.enqueue(change{Quarantined: dispatch.Quarantined{Work: id}, release: true})
}

func (k *Keeper) enqueue(c change) {
	c.recordedAt = k.clock.Now()
	if !k.pending.Offer(c) {
		k.log.Warn("quarantine_not_kept", zap.Stringer("work", c.Work), zap.Int("waiting", maxPending))
	}
}

// Run reads the stored requests and then writes changes until the context is cancelled.
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

// StoreRestored records that the store was restored from a backup, which may lack the most recent
// writes.
func (k *Keeper) StoreRestored() {
	select {
	case k.restored <- struct{}{}:
	default:
	}
}

// StoreAnswered ends the pause after a failed reading at the start: requests wait for the reading for a
// short time only once the node has all else.
func (k *Keeper) StoreAnswered() {
	select {
	case k.storeBack <- struct{}{}:
	default:
	}
}

// rememberWrites adds changes to recentWrites and removes the expired ones.
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

// possiblyLost returns the changes that a restored backup may lack, with the current ages of the
// requests.
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

// read reads the stored requests and calls onRead even if there are none, because the node waits
// for it.
func (k *Keeper) read(ctx context.Context) {
	if k.firstStart {
		k.onRead(nil)
		return
	}
	k.reading = true
	defer func() { k.reading = false }()
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

// collectBatch returns a change and those waiting behind it, reduced to the last change for each
// request.
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

// writeAll writes changes of one kind until the store accepts them. If the store permanently
// refuses a batch, each change is written separately, so that one change does not block the
// others.
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

// pause waits for a time or until the context is cancelled. While the stored requests are read, it ends
// when the store has answered another call.
func (k *Keeper) pause(ctx context.Context, d time.Duration) {
	if !k.reading {
		clock.Sleep(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.storeBack:
	}
}

// retry repeats a call until it succeeds or the context is cancelled. If the store permanently
// refuses the call, retry returns an error that wraps ErrRefused.
func (k *Keeper) retry(ctx context.Context, event string, call func() error) error {
	for pause := minRetryDelay; ctx.Err() == nil; pause = min(2*pause, maxRetryDelay) {
		err := call()
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		k.log.Info(event, logging.Err(err))
		k.pause(ctx, pause)
	}
	return nil
}
