package member

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// markTTL is how long a leaving mark is passed on. It is long enough for
// hundreds of rounds; the platform's list has the upstream as leaving or gone
// well before.
const markTTL clock.Millis = 60_000

// maxMarks bounds the marks that go with a heartbeat, newest first.
const maxMarks = 32

// leavingMark is a leaving mark on its way through the fleet.
type leavingMark struct {
	mark    *wire.LeavingMark
	addedAt clock.Millis
}

// AddMark adds a leaving mark to what the node passes on. It returns false for
// one that it passes on already.
func (t *Table) AddMark(now clock.Millis, m *wire.LeavingMark) bool {
	for _, known := range t.marks {
		if known.mark.GetUpstream() == m.GetUpstream() && known.mark.GetIncarnation() == m.GetIncarnation() {
			return false
		}
	}
	t.marks = append(t.marks, leavingMark{mark: m, addedAt: now})
	return true
}

// Marks returns the newest leaving marks that the node passes on.
func (t *Table) Marks() []*wire.LeavingMark {
	from := max(len(t.marks)-maxMarks, 0)
	marks := make([]*wire.LeavingMark, 0, len(t.marks)-from)
	for _, m := range t.marks[from:] {
		marks = append(marks, m.mark)
	}
	return marks
}
