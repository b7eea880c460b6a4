package overload

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Monitor measures how late a node's goroutines run and limits its new connections. It is safe for
// concurrent use.
type Monitor struct {
	clock *clock.Clock
	log   *zap.Logger

	mu      sync.Mutex
	meter   Meter
	limiter *Limiter
	// longest is the longest delay since the start. taken, refused and left count the connections that were
	// taken, refused, and closed without a refusal.
	longest              clock.Millis
	taken, refused, left int64
}

// Summary is a snapshot of a Monitor for metrics. Delays are in ms.
type Summary struct {
	Delay   clock.Millis `json:"delay_ms"`
	Typical clock.Millis `json:"typical_ms"`
	Longest clock.Millis `json:"longest_ms"`
	// Rate is the limit in connections a second; zero for none.
	Rate    float64 `json:"rate"`
	Taken   int64   `json:"connections_taken"`
	Refused int64   `json:"connections_refused"`
	Left    int64   `json:"connections_left_unread"`
}

// NewMonitor returns a monitor for a node with a number of cores, which may be a fraction. Run
// measures.
func NewMonitor(c *clock.Clock, log *zap.Logger, cores float64) *Monitor {
	return &Monitor{clock: c, log: log, limiter: NewLimiter(cores)}
}

// Run measures until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	timer, waits := time.NewTimer(0), newWaits()
	defer timer.Stop()
	for {
		pause := m.clock.UntilMultiple(m.pause().Duration())
		due := m.clock.Now().Add(clock.FromDuration(pause))
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			m.record(max(m.clock.Now().Sub(due), waits.sinceLast()))
		}
	}
}

// pause returns the time until the next measurement.
func (m *Monitor) pause() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limiter.Overloaded() {
		return Interval
	}
	return m.meter.Next()
}

func (m *Monitor) record(delay clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.meter.Record(now, delay)
	m.longest = max(m.longest, delay)
	if m.limiter.Adjust(now, m.meter.Typical()) {
		m.logLimit(now)
	}
}

func (m *Monitor) logLimit(now clock.Millis) {
	m.log.Info("overload", zap.Bool("overloaded", m.limiter.Overloaded()), zap.Int64("delay_ms", int64(m.meter.Delay(now))),
		zap.Int64("typical_ms", int64(m.meter.Typical())), zap.Float64("connections_a_second", m.limiter.Rate()),
		zap.Int64("taken", m.taken), zap.Int64("refused", m.refused), zap.Int64("left_unread", m.left))
}

// Delay returns how late the node's goroutines ran at the most in the last moments.
func (m *Monitor) Delay() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Delay(m.clock.Now())
}

// Overloaded reports whether the node limits its new connections.
func (m *Monitor) Overloaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter.Overloaded()
}

// Admit reports whether the node takes a new connection.
func (m *Monitor) Admit() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limiter.Admit(m.clock.Now()) {
		m.taken++
		return true
	}
	return false
}

// recordRefused records that a connection was refused.
func (m *Monitor) recordRefused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused++
}

// recordLeft records that a connection was closed without a refusal.
func (m *Monitor) recordLeft() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left++
}

// Summary returns a snapshot for metrics.
func (m *Monitor) Summary() Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	return Summary{Delay: m.meter.Delay(now), Typical: m.meter.Typical(), Longest: m.longest, Rate: m.limiter.Rate(), Taken: m.taken, Refused: m.refused, Left: m.left}
}
