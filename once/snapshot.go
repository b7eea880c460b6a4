package once

import "slices"

// Snapshot is all that a ledger knows, to be handed over to another node when
// its own stops as planned. Whoever hands it over must begin nothing more.
type Snapshot struct {
	Incarnation uint64   `json:"incarnation"`
	Next        uint64   `json:"next"`
	Floor       uint64   `json:"floor"`
	Begun       []uint64 `json:"begun"`
	Secret      []byte   `json:"secret"`
}

// Snapshot returns all that the ledger knows. Begun is in rising order.
func (l *Ledger) Snapshot() Snapshot {
	s := Snapshot{Incarnation: l.incarnation, Next: l.next, Floor: l.floor, Secret: l.secret}
	for sequence := range l.begun {
		s.Begun = append(s.Begun, sequence)
	}
	slices.Sort(s.Begun)
	return s
}

// EvictAll gives up all sequence numbers: none may begin any more.
func (l *Ledger) EvictAll() {
	l.floor = l.next
	clear(l.begun)
}

// Restore returns a ledger that goes on where a snapshot was taken.
func Restore(s Snapshot) *Ledger {
	l := New(WithIncarnation(s.Incarnation), WithSecret(s.Secret))
	l.next, l.floor = s.Next, s.Floor
	for _, sequence := range s.Begun {
		l.begun[sequence] = struct{}{}
	}
	return l
}
