package member

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// markTTL is how long a leaving mark is gossiped. Hundreds of rounds fit in it; the store's
// list shows the upstream as leaving or removed well before.
const markTTL clock.Millis = 60_000

// maxMarks bounds the leaving marks in a heartbeat. The newest are sent.
const maxMarks = 32

// leavingMark is a leaving mark that is being gossiped.
type leavingMark struct {
	mark    *wire.LeavingMark
	addedAt clock.Millis
}

// AddMark adds a leaving mark to those that the node gossips. It returns false if the mark is
// one of them already.
func (t *Table) AddMark(now clock.Millis, m *wire.LeavingMark) bool {
	for _, known := range t.marks {
		if known.mark.GetUpstream() == m.GetUpstream() && known.mark.GetIncarnation() == m.GetIncarnation() {
			return false
		}
	}
	t.marks = append(t.marks, leavingMark{mark: m, addedAt: now})
	return true
}

// Marks returns the newest leaving marks to send with a heartbeat.
func (t *Table) Marks() []*wire.LeavingMark {
	from := max(len(t.marks)-maxMarks, 0)
	marks := make([]*wire.LeavingMark, 0, len(t.marks)-from)
	for _, m := range t.marks[from:] {
		marks = append(marks, m.mark)
	}
	return marks
}
