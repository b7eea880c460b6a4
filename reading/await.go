package reading

import (
	"context"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
)

// checkResult is what one look at the log has shown.
type checkResult struct {
	now clock.Millis
	// found tells that there is something new, and vouched that the log can vouch.
	found, fresh bool
	// nextCheck is when to look again if changed is not closed before.
	nextCheck clock.Millis
	changed   <-chan struct{}
}

// await looks, under the lock, until there is something new or the wait is over.
// It fails as soon as the log cannot vouch any more.
func (l *Log) await(ctx context.Context, wait clock.Millis, look func() (bool, error)) error {
	until := l.clock.Now().Add(wait)
	for {
		g, err := l.checkOnce(look)
		switch {
		case err != nil || g.found:
			return err
		case g.now >= until && g.fresh:
			return nil
		}
		next := g.nextCheck
		if g.fresh {
			next = min(until, next)
		}
		// One more, since the clock rounds down.
		timer := time.NewTimer((next.Sub(g.now) + 1).Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-g.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// checkOnce looks once. On a first question the log may become able to vouch; later it
// fails where it is not.
func (l *Log) checkOnce(look func() (bool, error)) (checkResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := checkResult{now: l.clock.Now(), changed: l.changed}
	if g.now >= l.lastRequest.Add(followerTimeout) {
		l.followedSince = g.now
	}
	l.lastRequest = g.now
	if !l.isFresh(g.now) {
		g.nextCheck = l.followedSince.Add(l.firstRequestWait)
		if g.now > g.nextCheck {
			return g, ErrStale
		}
		return g, nil
	}
	g.fresh, g.nextCheck = true, l.config.AnsweredAt.Add(l.proofLifetime)
	var err error
	g.found, err = look()
	return g, err
}
