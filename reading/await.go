package reading

import (
	"context"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
)

// glance is what one look at the log has shown.
type glance struct {
	at clock.Millis
	// found tells that there is something new, and vouched that the log can vouch.
	found, vouched bool
	// next is when to look again if changed is not closed before.
	next    clock.Millis
	changed <-chan struct{}
}

// await looks, under the lock, until there is something new or the wait is over.
// It fails as soon as the log cannot vouch any more.
func (l *Log) await(ctx context.Context, wait clock.Millis, look func() (bool, error)) error {
	until := l.clock.Now().Add(wait)
	for {
		g, err := l.look(look)
		switch {
		case err != nil || g.found:
			return err
		case g.at >= until && g.vouched:
			return nil
		}
		next := g.next
		if g.vouched {
			next = min(until, next)
		}
		// One more, since the clock rounds down.
		timer := time.NewTimer((next.Sub(g.at) + 1).Duration())
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

// look looks once. On a first question the log may become able to vouch; later it
// fails where it is not.
func (l *Log) look(look func() (bool, error)) (glance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := glance{at: l.clock.Now(), changed: l.changed}
	if g.at >= l.asked.Add(followedFor) {
		l.followedSince = g.at
	}
	l.asked = g.at
	if !l.vouches(g.at) {
		g.next = l.followedSince.Add(l.vouchSoon)
		if g.at > g.next {
			return g, ErrCannotVouch
		}
		return g, nil
	}
	g.vouched, g.next = true, l.known.Answered.Add(l.vouchFor)
	var err error
	g.found, err = look()
	return g, err
}
