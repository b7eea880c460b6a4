// Package config holds the configuration in force at a node: how one version
// is made of the one before, what makes a version valid, and the rule that a
// node only ever moves up.
//
// A version is the sum of all change records up to it. The platform's table
// gives each version number to one record, so any two nodes at the same
// version hold the same configuration, wherever they got the records from.
//
//	t := config.NewTracker()
//	changed, err := t.Add(record)
//	cfg := t.Current()
package config

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/wire"
)

// DefaultHistory is how many change records a node keeps to hand to its peers
// and to show to operators. A day at full size has 6,800.
const DefaultHistory = 512

// Tracker holds the version in force. It is not safe for concurrent use.
type Tracker struct {
	current *wire.Config
	// base is the version that the history starts from.
	base       *wire.Config
	history    []*wire.ChangeRecord
	maxHistory int
}

// TrackerOption sets up a Tracker.
type TrackerOption func(*Tracker)

// WithHistory sets how many change records are kept.
func WithHistory(n int) TrackerOption { return func(t *Tracker) { t.maxHistory = max(n, 1) } }

// NewTracker returns a tracker at version 0, the empty configuration.
func NewTracker(opts ...TrackerOption) *Tracker {
	t := &Tracker{current: &wire.Config{}, base: &wire.Config{}, maxHistory: DefaultHistory}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Current returns the configuration in force. It must not be changed.
func (t *Tracker) Current() *wire.Config { return t.current }

// Version returns the version in force; zero before the first.
func (t *Tracker) Version() uint64 { return t.current.GetVersion() }

// Replace puts a whole configuration in force if it is newer than the present
// one, and reports whether it did. An older one is passed over: a node never
// goes back.
func (t *Tracker) Replace(c *wire.Config) bool {
	if c.GetVersion() <= t.Version() {
		return false
	}
	t.current = c
	t.base = c
	t.history = nil
	return true
}

// Add puts the next change record in force, and reports whether it did. A
// record that is in force already is passed over. A record that skips a
// version is ErrOutOfOrder.
func (t *Tracker) Add(record *wire.ChangeRecord) (bool, error) {
	if record.GetVersion() <= t.Version() {
		return false, nil
	}
	next, err := Apply(t.current, record)
	if err != nil {
		return false, err
	}
	t.current = next
	t.history = append(t.history, record)
	t.trim()
	return true, nil
}

// trim drops the oldest half of a history that has grown too long, and moves
// the base up to match.
func (t *Tracker) trim() {
	if len(t.history) <= t.maxHistory {
		return
	}
	cut := len(t.history) - t.maxHistory/2
	t.base = t.ConfigAt(t.history[cut-1].GetVersion())
	t.history = slices.Clone(t.history[cut:])
}

// RecordsAfter returns the records that follow a version. It returns false when they
// are not all held; the whole configuration then has to do.
func (t *Tracker) RecordsAfter(version uint64) ([]*wire.ChangeRecord, bool) {
	if version >= t.Version() {
		return nil, true
	}
	if len(t.history) == 0 || t.history[0].GetVersion() > version+1 {
		return nil, false
	}
	at := version + 1 - t.history[0].GetVersion()
	return slices.Clone(t.history[at:]), true
}

// History returns the newest records held, newest first.
func (t *Tracker) History(limit int) []*wire.ChangeRecord {
	newest := slices.Clone(t.history)
	slices.Reverse(newest)
	return newest[:min(limit, len(newest))]
}

// RecordByChangeID returns the record of a change id, or nil when it is not held.
func (t *Tracker) RecordByChangeID(id string) *wire.ChangeRecord {
	for _, r := range t.history {
		if r.GetChangeId() == id {
			return r
		}
	}
	return nil
}

// RecordByVersion returns the record that made a version, or nil when it is not held.
func (t *Tracker) RecordByVersion(version uint64) *wire.ChangeRecord {
	for _, r := range t.history {
		if r.GetVersion() == version {
			return r
		}
	}
	return nil
}

// Preview returns the configuration that a proposal would make, if it is valid.
func (t *Tracker) Preview(record *wire.ChangeRecord) (*wire.Config, error) {
	next, err := Apply(t.current, record)
	if err != nil {
		return nil, err
	}
	return next, Validate(next)
}

// Size returns the number of bytes that the configuration takes on the wire.
func (t *Tracker) Size() int { return proto.Size(t.current) }

// ConfigAt returns an earlier version, worked out from the records held since the
// last whole configuration, or nil when those do not reach back so far.
func (t *Tracker) ConfigAt(version uint64) *wire.Config {
	c := t.base
	if c == nil || version < c.GetVersion() || version > t.Version() {
		return nil
	}
	for _, r := range t.history {
		if r.GetVersion() > version {
			break
		}
		next, err := Apply(c, r)
		if err != nil {
			return nil
		}
		c = next
	}
	return c
}
