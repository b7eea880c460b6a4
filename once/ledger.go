// Package once keeps the promise that a request marked as not to be repeated
// runs at most once, across nodes that keep nothing on disk.
//
// Every key belongs to one incarnation of one node, for ever: its Claim. A
// ticket is a key that names its claim; for a key that a caller made up, the
// first claim written into the platform's table stands. Only the owner may
// run the key, and its Ledger lets it begin a sequence number once. An owner
// that was frozen for an hour is still the only owner when it wakes; one that
// died leaves keys that nobody runs, and their callers are told so. No clock
// and no lease takes part.
//
//	l := once.New(once.WithIncarnation(7))
//	c := l.Next()
//	l.Begin(c.Sequence) // true
//	l.Begin(c.Sequence) // false, for ever
package once

// DefaultCapacity is how many sequence numbers a Ledger remembers. At 24
// bytes each it is 24 MB at most.
const DefaultCapacity = 1 << 20

// Ledger remembers which of its incarnation's sequence numbers have begun.
// It is not safe for concurrent use.
type Ledger struct {
	incarnation uint64
	secret      []byte
	capacity    int
	next        uint64
	floor       uint64
	begun       map[uint64]struct{}
}

// Option sets up a Ledger.
type Option func(*Ledger)

// WithIncarnation sets the number of this run of the process. It must differ
// from that of every other run of every node: 64 random bits do.
func WithIncarnation(n uint64) Option { return func(l *Ledger) { l.incarnation = n } }

// WithSecret sets what the tags of tickets are made with. It is drawn anew for
// each incarnation and leaves it only in a handover.
func WithSecret(secret []byte) Option { return func(l *Ledger) { l.secret = secret } }

// WithCapacity sets how many sequence numbers are remembered.
func WithCapacity(n int) Option { return func(l *Ledger) { l.capacity = max(n, 1) } }

// New returns a ledger that has issued nothing.
func New(opts ...Option) *Ledger {
	l := &Ledger{capacity: DefaultCapacity, next: 1, floor: 1, begun: make(map[uint64]struct{})}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Incarnation returns the number of this run of the process.
func (l *Ledger) Incarnation() uint64 { return l.incarnation }

// Owns reports whether a claim is this incarnation's.
func (l *Ledger) Owns(c Claim) bool { return c.Owner == l.incarnation }

// NewClaim makes a new claim. When more numbers are out than the ledger can
// remember, the lowest are given up: they can never begin again, and whether
// they did is no longer known.
func (l *Ledger) NewClaim() Claim {
	c := Claim{Owner: l.incarnation, Sequence: l.next}
	l.next++
	for l.next-l.floor > uint64(l.capacity) {
		delete(l.begun, l.floor)
		l.floor++
	}
	return c
}

// State returns what the ledger knows of one of its sequence numbers.
func (l *Ledger) State(sequence uint64) State {
	if sequence < l.floor {
		return Evicted
	}
	if sequence >= l.next {
		return NeverIssued
	}
	if _, ok := l.begun[sequence]; ok {
		return Begun
	}
	return NotBegun
}

// Begin lets a sequence number start to run. It returns true once at most.
func (l *Ledger) Begin(sequence uint64) bool {
	if l.State(sequence) != NotBegun {
		return false
	}
	l.begun[sequence] = struct{}{}
	return true
}

// UndoBegin takes a Begin back. The caller must hold proof that nothing has run:
// the connection was refused, or the upstream's protocol says so.
func (l *Ledger) UndoBegin(sequence uint64) { delete(l.begun, sequence) }

// Len returns how many begun sequence numbers are remembered.
func (l *Ledger) Len() int { return len(l.begun) }
