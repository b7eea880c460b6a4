// Package config holds the active configuration of a node: it applies change
// records, validates configurations, and never lets a node return to an older
// version.
//
// A version is the result of all change records up to it. The platform's table
// assigns each version number to one record, so any two nodes at the same version
// have the same configuration, whichever source they got the records from.
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

// DefaultHistory is the default number of change records that a node keeps, to
// send to peers and to show to operators. A full-size fleet has 6,800 changes a
// day.
const DefaultHistory = 512

// Tracker holds the active configuration and its recent changes. It is not safe
// for concurrent use.
type Tracker struct {
	current *wire.Config
	// base is the configuration before the first record in history.
	base       *wire.Config
	history    []*wire.ChangeRecord
	maxHistory int
}

// TrackerOption configures a Tracker.
type TrackerOption func(*Tracker)

// WithHistory sets how many change records a Tracker keeps, at least 1.
func WithHistory(n int) TrackerOption { return func(t *Tracker) { t.maxHistory = max(n, 1) } }

// NewTracker returns a tracker at version 0, the empty configuration.
func NewTracker(opts ...TrackerOption) *Tracker {
	t := &Tracker{current: &wire.Config{}, base: &wire.Config{}, maxHistory: DefaultHistory}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Current returns the active configuration. The caller must not modify it.
func (t *Tracker) Current() *wire.Config { return t.current }

// Version returns the active version; zero before the first change.
func (t *Tracker) Version() uint64 { return t.current.GetVersion() }

// Replace activates a complete configuration if it is newer than the active one,
// and reports whether it did. An older one is ignored, because a node never
// returns to an older version.
func (t *Tracker) Replace(c *wire.Config) bool {
	if c.GetVersion() <= t.Version() {
		return false
	}
	t.current = c
	t.base = c
	t.history = nil
	return true
}

// Add applies the next change record and reports whether it did. It ignores a
// record that is already applied, and returns ErrOutOfOrder for a record that
// skips a version.
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

// trim shortens a history of more than maxHistory records to half of maxHistory,
// and advances base to match.
func (t *Tracker) trim() {
	if len(t.history) <= t.maxHistory {
		return
	}
	dropped := len(t.history) - t.maxHistory/2
	t.base = t.ConfigAt(t.history[dropped-1].GetVersion())
	t.history = slices.Clone(t.history[dropped:])
}

// RecordsAfter returns the records that follow a version. It returns false if the
// history lacks some of them; the caller then needs the complete configuration.
func (t *Tracker) RecordsAfter(version uint64) ([]*wire.ChangeRecord, bool) {
	if version >= t.Version() {
		return nil, true
	}
	if len(t.history) == 0 || t.history[0].GetVersion() > version+1 {
		return nil, false
	}
	index := version + 1 - t.history[0].GetVersion()
	return slices.Clone(t.history[index:]), true
}

// History returns at most limit records of the history, newest first.
func (t *Tracker) History(limit int) []*wire.ChangeRecord {
	newest := slices.Clone(t.history)
	slices.Reverse(newest)
	return newest[:min(limit, len(newest))]
}

// RecordByChangeID returns the record with a change ID, or nil if the history
// lacks it.
func (t *Tracker) RecordByChangeID(id string) *wire.ChangeRecord {
	for _, r := range t.history {
		if r.GetChangeId() == id {
			return r
		}
	}
	return nil
}

// RecordByVersion returns the record of a version, or nil if the history lacks it.
func (t *Tracker) RecordByVersion(version uint64) *wire.ChangeRecord {
	for _, r := range t.history {
		if r.GetVersion() == version {
			return r
		}
	}
	return nil
}

// Preview returns the configuration that would result from a proposed record,
// without activating it. An invalid result is an error.
func (t *Tracker) Preview(record *wire.ChangeRecord) (*wire.Config, error) {
	next, err := Apply(t.current, record)
	if err != nil {
		return nil, err
	}
	return next, Validate(next)
}

// Size returns the encoded size of the active configuration in bytes.
func (t *Tracker) Size() int { return proto.Size(t.current) }

// ConfigAt returns the configuration at a version, rebuilt from base and the
// history. It returns nil for a version older than base or newer than the active
// one.
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
