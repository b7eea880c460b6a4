// Package once ensures that a request marked as not to be repeated executes at
// most once, across nodes that keep nothing on disk.
//
// Every key belongs permanently to one incarnation of one node, which its Claim
// names. A ticket is a key that contains its claim; for a key chosen by a caller,
// the first claim written into the platform's table is final. Only the owner may
// execute the key, and its Ledger lets each sequence number begin once. An owner
// that was frozen for an hour is still the only owner when it resumes. The keys of
// an owner that crashed are never executed, and their callers get the reason owner_gone. The
// guarantee depends on no clock and no lease.
//
//	l := once.New(once.WithIncarnation(7))
//	c := l.NewClaim()
//	l.Begin(c.Sequence) // true
//	l.Begin(c.Sequence) // false, permanently
package once

// DefaultCapacity is the number of sequence numbers that a Ledger tracks. At 24 bytes
// each, a full ledger takes at most 24 MB.
const DefaultCapacity = 1 << 20

// Ledger tracks which sequence numbers of one incarnation have begun. It is not safe
// for concurrent use.
type Ledger struct {
	incarnation uint64
	secret      []byte
	capacity    int
	next        uint64
	floor       uint64
	begun       map[uint64]struct{}
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithIncarnation sets the incarnation, which identifies one run of a node's process.
// It must be unique among all runs of all nodes; 64 random bits suffice.
func WithIncarnation(n uint64) Option { return func(l *Ledger) { l.incarnation = n } }

// WithSecret sets the HMAC key for the tags of tickets. Each incarnation generates a
// new secret and sends it to another node only in a handover.
func WithSecret(secret []byte) Option { return func(l *Ledger) { l.secret = secret } }

// WithCapacity sets how many sequence numbers the ledger tracks, at least 1.
func WithCapacity(n int) Option { return func(l *Ledger) { l.capacity = max(n, 1) } }

// New returns a ledger that has issued no claims.
func New(opts ...Option) *Ledger {
	l := &Ledger{capacity: DefaultCapacity, next: 1, floor: 1, begun: make(map[uint64]struct{})}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Incarnation returns the incarnation that the ledger issues claims for.
func (l *Ledger) Incarnation() uint64 { return l.incarnation }

// Owns reports whether the claim belongs to this ledger's incarnation.
func (l *Ledger) Owns(c Claim) bool { return c.Owner == l.incarnation }

// NewClaim returns a claim with the next sequence number. When the ledger exceeds its
// capacity, it evicts the lowest numbers: they can never begin, and whether they had
// begun is no longer known.
func (l *Ledger) NewClaim() Claim {
	c := Claim{Owner: l.incarnation, Sequence: l.next}
	l.next++
	for l.next-l.floor > uint64(l.capacity) {
		delete(l.begun, l.floor)
		l.floor++
	}
	return c
}

// State returns the state of a sequence number.
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

// Begin marks a sequence number as begun. It returns true at most once per number, and
// false if the number may not be executed.
func (l *Ledger) Begin(sequence uint64) bool {
	if l.State(sequence) != NotBegun {
		return false
	}
	l.begun[sequence] = struct{}{}
	return true
}

// UndoBegin reverts Begin, so that the sequence number can begin again. The caller
// must have proof that nothing was executed: a refused connection, or a response that
// states so in the upstream's protocol.
func (l *Ledger) UndoBegin(sequence uint64) { delete(l.begun, sequence) }

// Len returns the number of tracked sequence numbers that have begun.
func (l *Ledger) Len() int { return len(l.begun) }
