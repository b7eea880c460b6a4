package budget

import "github.com/hoistjunction/hoistjunction/clock"

// windowParts is into how many parts a Window is cut. Retries are kept for one part more,
// so that their sum is never over less than the whole window, and first tries are not, so
// that theirs is never over more.
const windowParts = 10

// Window bounds retries in every window of time: to a share of the first tries
// in it, and a number beyond that. After a burst of retries it is as generous
// again as before, one window later. It is not safe for concurrent use.
//
//	w := budget.NewWindow(10_000, 0.2, 20)
//	w.Earn(now)
//	if w.Spend(now) {
//	}
//
// An allowance of less than one retry is a chance of one: of many windows that hold parts of
// a whole, as those of a thousand nodes, each would else hold less than a retry, and none
// would ever make any.
type Window struct {
	partLength clock.Millis
	share      float64
	slack      float64
	draw       float64
	parts      [windowParts + 1]windowPart
}

// chanceFactor is the part of an allowance of less than one that counts as a chance. What is
// left is for windows that are luckier together than the mean.
const chanceFactor = 0.9

// WindowOption sets up a Window.
type WindowOption func(*Window)

// WithDraw sets what is drawn for a window, from 0 up to 1: where its allowance is less than
// one, it is one if the chance exceeds what is left of 1. Windows that share a whole are to
// have draws of their own, which do not change while they are used.
func WithDraw(draw float64) WindowOption { return func(w *Window) { w.draw = draw } }

// windowPart counts one part of the time; its number tells a stale one.
type windowPart struct {
	number        int64
	firstAttempts int
	retries       int
}

// NewWindow returns a budget of a share and a slack in each window of a length.
func NewWindow(length clock.Millis, share, slack float64, opts ...WindowOption) *Window {
	w := &Window{partLength: max(length/windowParts, 1), share: share, slack: slack}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// SetLimits changes the share, and the number of retries beyond it.
func (w *Window) SetLimits(share, slack float64) { w.share, w.slack = share, slack }

// Deposit counts one first try.
func (w *Window) Deposit(now clock.Millis) { w.partAt(now).firstAttempts++ }

// TryWithdraw takes one retry, and reports whether there was one.
func (w *Window) TryWithdraw(now clock.Millis) bool {
	current := w.partAt(now)
	first, retries := w.sums(current.number)
	if float64(retries+1) > w.allowance(first) {
		return false
	}
	current.retries++
	return true
}

// allowance is how many retries a window with so many first tries may have.
func (w *Window) allowance(first int) float64 {
	allowed := w.share*float64(first) + w.slack
	if allowed < 1 && chanceFactor*allowed+w.draw >= 1 {
		return 1
	}
	return allowed
}

// Refund gives back a retry that was taken at the same moment and not made.
func (w *Window) Refund(now clock.Millis) {
	current := w.partAt(now)
	current.retries = max(current.retries-1, 0)
}

func (w *Window) partAt(now clock.Millis) *windowPart {
	number := int64(now / w.partLength)
	p := &w.parts[number%int64(len(w.parts))]
	if p.number != number {
		*p = windowPart{number: number}
	}
	return p
}

func (w *Window) sums(newest int64) (first, retries int) {
	for _, p := range w.parts {
		if p.number > newest-int64(len(w.parts)) {
			retries += p.retries
		}
		if p.number > newest-windowParts {
			first += p.firstAttempts
		}
	}
	return first, retries
}
