package budget

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// LoanLifetime is how long after its request a loan may be used. Through a hub, a loan arrives
	// up to 0.9 s after the first failure: three reports of 0.3 s.
	LoanLifetime clock.Millis = 1000
	// LoanSpan bounds the time from lending retries to their last use. A loan may be lent on once
	// within its lifetime, and then has another lifetime.
	LoanSpan = 2 * LoanLifetime
	// lendablePart is the part of its allowance that a window lends at most. Half is kept, since
	// the node's own requests may fail a moment later.
	lendablePart = 0.5
	// maxWanted bounds the retries that are requested at a time, so that one node does not take
	// what all others can lend.
	maxWanted = 16
)

// Loan is a number of retries that may be used until a time. Until is a time of the borrower's
// clock, or of the lender's clock while the lender keeps the retries reserved.
type Loan struct {
	Retries int
	Until   clock.Millis
	// LentOn reports whether the lender had borrowed the retries itself. They are not lent again.
	LentOn bool
}

// LendingWindow is a Window of one node that lends retries to the windows of other nodes and borrows
// from them. A lent retry counts as made by the lender until no window can contain its use any more,
// so the windows together never exceed the sum of their allowances. It is not safe for concurrent
// use.
type LendingWindow struct {
	*Window
	borrowed []Loan
	// last is the loan of the last withdrawal; its Retries are 0 if that was not borrowed.
	last Loan
	// drops counts the calls of DropBorrowed.
	drops int
	// withdrawn and denied count the retries since the last call of Wanted.
	withdrawn int
	denied    int
}

// NewLendingWindow returns a LendingWindow that makes its own retries from w.
func NewLendingWindow(w *Window) *LendingWindow { return &LendingWindow{Window: w} }

// TryWithdraw takes one retry and reports whether one was available. Borrowed retries are taken
// first, since they expire.
func (p *LendingWindow) TryWithdraw(now clock.Millis) bool {
	p.expire(now)
	switch {
	case len(p.borrowed) > 0:
		p.last = Loan{Retries: 1, Until: p.borrowed[0].Until, LentOn: p.borrowed[0].LentOn}
		p.takeBorrowed(0, 1)
	case p.Window.TryWithdraw(now):
		p.last = Loan{}
	default:
		p.denied++
		return false
	}
	p.withdrawn++
	return true
}

// TryWithdrawPart takes one retry if the window's own retries remain within a part of its
// allowance or if it is the first, and reports whether it did. It takes no borrowed retries.
func (p *LendingWindow) TryWithdrawPart(now clock.Millis, part float64) bool {
	attempts, retries := p.sums(p.partAt(now).number)
	if retries += p.lentAt(now); retries > 0 && float64(retries+1) > part*p.allowance(attempts) {
		return false
	}
	if !p.Window.TryWithdraw(now) {
		return false
	}
	p.last = Loan{}
	p.withdrawn++
	return true
}

// Refund returns a retry that was taken at the same time and not used.
func (p *LendingWindow) Refund(now clock.Millis) {
	p.withdrawn = max(p.withdrawn-1, 0)
	if p.last.Retries == 0 {
		p.Window.Refund(now)
		return
	}
	p.borrowed = append(p.borrowed, p.last)
	p.last = Loan{}
}

// Withdrawal is a retry that was taken and may be returned later.
type Withdrawal struct {
	takenAt clock.Millis
	// loan is the loan of the retry; its Retries are 0 if that was not borrowed. drops is the number
	// of calls of DropBorrowed before.
	loan  Loan
	drops int
}

// LastWithdrawal returns the retry that was taken last, at a time.
func (p *LendingWindow) LastWithdrawal(takenAt clock.Millis) Withdrawal {
	return Withdrawal{takenAt: takenAt, loan: p.last, drops: p.drops}
}

// Return returns a retry that was taken earlier and not used. It counts as not taken from the time at
// which it was taken, so that it makes up for no other retry. A borrowed one that has expired is lost.
func (p *LendingWindow) Return(now clock.Millis, w Withdrawal) {
	if w.loan.Retries == 0 {
		p.refundAt(w.takenAt)
		return
	}
	if w.drops == p.drops && now <= w.loan.Until {
		p.Borrow(w.loan)
	}
}

// Borrow adds a loan.
func (p *LendingWindow) Borrow(l Loan) {
	if l.Retries <= 0 {
		return
	}
	p.borrowed = append(p.borrowed, l)
	slices.SortStableFunc(p.borrowed, func(a, b Loan) int { return int(a.Until - b.Until) })
}

// DropBorrowed drops all loans.
func (p *LendingWindow) DropBorrowed() {
	p.borrowed, p.last = nil, Loan{}
	p.drops++
}

// Available returns the number of retries that can be taken now.
func (p *LendingWindow) Available(now clock.Millis) int {
	p.expire(now)
	n := max(int(p.spare(now, 1)), 0)
	for _, l := range p.borrowed {
		n += l.Retries
	}
	return n
}

// Wanted returns the number of retries to borrow: those denied since the last call, and as many
// as were made since, as far as they are not available.
func (p *LendingWindow) Wanted(now clock.Millis) int {
	wanted := p.denied + p.withdrawn - p.Available(now)
	p.denied, p.withdrawn = 0, 0
	return min(max(wanted, 0), maxWanted)
}

// Lend lends up to a number of the window's own retries and returns how many. They count as made
// until no window can contain their use.
func (p *LendingWindow) Lend(now clock.Millis, wanted int) int {
	n := min(wanted, int(p.spare(now, lendablePart)))
	if n <= 0 {
		return 0
	}
	p.reserve(now.Add(LoanSpan+p.partLength*(windowParts+1)), n)
	return n
}

// LendOn passes on up to a number of borrowed retries and returns how many. Those that were
// passed on before are kept.
func (p *LendingWindow) LendOn(now clock.Millis, wanted int) int {
	p.expire(now)
	n := 0
	for i := 0; i < len(p.borrowed) && n < wanted; {
		l := p.borrowed[i]
		if l.LentOn {
			i++
			continue
		}
		taken := min(l.Retries, wanted-n)
		n += taken
		if p.takeBorrowed(i, taken); taken < l.Retries {
			i++
		}
	}
	return n
}

// takeBorrowed takes retries from a loan and removes it once it is empty.
func (p *LendingWindow) takeBorrowed(i, retries int) {
	if p.borrowed[i].Retries -= retries; p.borrowed[i].Retries == 0 {
		p.borrowed = slices.Delete(p.borrowed, i, i+1)
	}
}

// expire removes the loans that have expired.
func (p *LendingWindow) expire(now clock.Millis) {
	p.borrowed = slices.DeleteFunc(p.borrowed, func(l Loan) bool { return now > l.Until })
}
