package relay

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
)

const (
	// livenessProbes bounds the probes of one liveness check, and livenessPause is the time in ms between
	// them. A lost packet costs a probe, and an upstream with too many connections resets a new one; neither
	// shows that its process has ended. A probe takes 160 ms at most, so a check ends within 560 ms, before a
	// caller gives up a stream (2 s).
	livenessProbes              = 3
	livenessPause  clock.Millis = 40
)

// livenessTarget is an upstream at an address.
type livenessTarget struct {
	upstream fleet.Incarnation
	address  string
}

// livenessCheck is one check of an upstream, for which several attempts may wait.
type livenessCheck struct {
	done chan struct{}
	// err is nil if the upstream has answered. It is set before done is closed.
	err error
}

// livenessChecks checks whether the processes of upstreams run. At most one check of an upstream runs at
// a time, and all attempts that ask meanwhile share the next one: an answer proves only that the upstream
// ran when the probe was sent, so a probe that was sent before the question proves nothing.
type livenessChecks struct {
	lifetime context.Context
	probe    func(ctx context.Context, address string, upstream fleet.Incarnation) error
	guard    contain.GuardFunc

	mu sync.Mutex
	// next holds a key for each upstream whose check runs, with the check that follows; nil if nobody waits
	// for one.
	next map[livenessTarget]*livenessCheck
}

func newLivenessChecks(lifetime context.Context, probe func(ctx context.Context, address string, upstream fleet.Incarnation) error, guard contain.GuardFunc) *livenessChecks {
	return &livenessChecks{lifetime: lifetime, probe: probe, guard: guard, next: make(map[livenessTarget]*livenessCheck)}
}

// check returns nil if the upstream's process has run after the call began.
func (c *livenessChecks) check(ctx context.Context, target livenessTarget) error {
	c.mu.Lock()
	check, running := c.next[target]
	if check == nil {
		check = &livenessCheck{done: make(chan struct{})}
		c.next[target] = check
	}
	c.mu.Unlock()
	if !running {
		go c.guard("liveness_probe", func() { c.run(target) })
	}
	select {
	case <-check.done:
		return check.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// run carries out the checks of an upstream until nobody waits for one.
func (c *livenessChecks) run(target livenessTarget) {
	for check := c.begin(target); check != nil; check = c.begin(target) {
		check.err = c.probeUntilCertain(target)
		close(check.done)
	}
}

// begin returns the next check of an upstream; nil if there is none.
func (c *livenessChecks) begin(target livenessTarget) *livenessCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.next[target]
	if check == nil {
		delete(c.next, target)
		return nil
	}
	c.next[target] = nil
	return check
}

// probeUntilCertain probes an upstream until it answers, or it is certain that its process has ended, or
// livenessProbes probes have failed.
func (c *livenessChecks) probeUntilCertain(target livenessTarget) error {
	for n := 1; ; n++ {
		err := c.probe(c.lifetime, target.address, target.upstream)
		if err == nil || n == livenessProbes || errors.IsAny(err, ErrOtherUpstream, syscall.ECONNREFUSED) {
			return err
		}
		select {
		case <-time.After(livenessPause.Duration()):
		case <-c.lifetime.Done():
			return err
		}
	}
}
