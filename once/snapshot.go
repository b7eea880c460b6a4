package once

import "slices"

// Snapshot is the full content of a ledger. A node that stops as planned sends it to
// another node in a handover, after which it must not begin any further sequence
// number.
type Snapshot struct {
	Incarnation uint64   `json:"incarnation"`
	Next        uint64   `json:"next"`
	Floor       uint64   `json:"floor"`
	Begun       []uint64 `json:"begun"`
	Secret      []byte   `json:"secret"`
}

// Snapshot returns the ledger's content. Begun is in ascending order.
func (l *Ledger) Snapshot() Snapshot {
	s := Snapshot{Incarnation: l.incarnation, Next: l.next, Floor: l.floor, Secret: l.secret}
	for sequence := range l.begun {
		s.Begun = append(s.Begun, sequence)
	}
	slices.Sort(s.Begun)
	return s
}

// EvictAll evicts every issued sequence number, so that none of them can begin.
func (l *Ledger) EvictAll() {
	l.floor = l.next
	clear(l.begun)
}

// Restore returns a ledger with the content of a snapshot.
func Restore(s Snapshot) *Ledger {
	l := New(WithIncarnation(s.Incarnation), WithSecret(s.Secret))
	l.next, l.floor = s.Next, s.Floor
	for _, sequence := range s.Begun {
		l.begun[sequence] = struct{}{}
	}
	return l
}
