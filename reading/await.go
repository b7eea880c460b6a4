package reading

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// checkResult is the result of one check of the log.
type checkResult struct {
	now clock.Millis
	// found reports whether there is something new to return, and fresh whether the log's proof
	// is recent enough.
	found, fresh bool
	// nextCheck is when to check again unless changed is closed before.
	nextCheck clock.Millis
	changed   <-chan struct{}
}

// await calls check under the lock until it finds something new, or until the wait is over. It
// returns ErrStale as soon as the log's proof is too old. initial reports whether the requester
// has nothing yet; its request waits while this node is starting.
func (l *Log) await(ctx context.Context, wait clock.Millis, initial bool, check func() (bool, error)) error {
	deadline := l.clock.Now().Add(wait)
	for {
		r, err := l.checkOnce(initial, check)
		switch {
		case errors.Is(err, ErrStarting) && r.now < deadline:
		case err != nil || r.found:
			return err
		case r.now >= deadline && r.fresh:
			return nil
		}
		next := r.nextCheck
		if r.fresh || err != nil {
			next = min(deadline, next)
		}
		// Adds 1 ms because the clock rounds down.
		timer := time.NewTimer((next.Sub(r.now) + 1).Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-r.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// checkOnce calls check once if the log is fresh. If it is not, the first requests after an
// interval without any may wait up to firstRequestWait for a proof; later requests fail with
// ErrStale, or with ErrStarting while an initial request may wait for the first reading.
func (l *Log) checkOnce(initial bool, check func() (bool, error)) (checkResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := checkResult{now: l.clock.Now(), changed: l.changed}
	if r.now >= l.lastRequest.Add(followerTimeout) {
		l.followedSince = r.now
	}
	l.lastRequest = r.now
	starting := initial && r.now < l.startingUntil
	if !l.isFresh(r.now) {
		if starting && l.config.AnsweredAt == clock.Never {
			r.nextCheck = l.startingUntil
			return r, ErrStarting
		}
		r.nextCheck = l.followedSince.Add(l.firstRequestWait)
		if r.now > r.nextCheck {
			return r, ErrStale
		}
		return r, nil
	}
	r.fresh, r.nextCheck = true, l.config.AnsweredAt.Add(l.proofLifetime)
	var err error
	r.found, err = check()
	if starting && errors.Is(err, ErrStale) {
		r.fresh, r.nextCheck, err = false, min(r.nextCheck, l.startingUntil), ErrStarting
	}
	return r, err
}
