package budget

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// windowParts is the number of parts into which a Window is divided. Retries are summed over one
// additional part, so that the sum never covers less than a whole window. First attempts are not,
// so that their sum never covers more than a window.
const windowParts = 10

// Window limits the retries in every time window to a share of the first attempts in it plus a
// fixed number, the slack. After a burst of retries, the whole budget is available again one
// window later. It is not safe for concurrent use.
//
//	w := budget.NewWindow(10_000, 0.2, 20)
//	w.Deposit(now)
//	if w.TryWithdraw(now) {
//	}
//
// An allowance below one retry is used as a probability of one retry. If a budget is divided among
// a thousand nodes, each window may have less than one retry, and otherwise no node would ever
// make any.
type Window struct {
	partLength clock.Millis
	share      float64
	slack      float64
	draw       float64
	parts      [windowParts + 1]windowPart
	// lent holds the retries that were lent and still count as made.
	lent []Loan
}

// chanceFactor is the share of an allowance below one that is used as a probability. The rest is a
// margin, because more windows than expected may get a retry.
const chanceFactor = 0.9

// WindowOption configures a Window.
type WindowOption func(*Window)

// WithDraw sets the window's random draw, at least 0 and below 1. An allowance below one becomes
// one retry if its probability is at least 1 minus the draw. Windows that divide a budget must
// have independent draws, which stay the same as long as the windows are used.
func WithDraw(draw float64) WindowOption { return func(w *Window) { w.draw = draw } }

// windowPart counts the attempts in one part of a window. number identifies the part in time, so
// that an outdated count is recognized.
type windowPart struct {
	number        int64
	firstAttempts int
	retries       int
}

// NewWindow returns a budget for windows of the given length, with a share and a slack.
func NewWindow(length clock.Millis, share, slack float64, opts ...WindowOption) *Window {
	w := &Window{partLength: max(length/windowParts, 1), share: share, slack: slack}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// SetLimits sets the share and the slack.
func (w *Window) SetLimits(share, slack float64) { w.share, w.slack = share, slack }

// Deposit counts one first attempt.
func (w *Window) Deposit(now clock.Millis) { w.partAt(now).firstAttempts++ }

// TryWithdraw takes one retry and reports whether one was available.
func (w *Window) TryWithdraw(now clock.Millis) bool {
	current := w.partAt(now)
	attempts, retries := w.sums(current.number)
	if float64(retries+w.lentAt(now)+1) > w.allowance(attempts) {
		return false
	}
	current.retries++
	return true
}

// allowance returns the number of retries allowed in a window with the given number of first
// attempts.
func (w *Window) allowance(attempts int) float64 {
	allowed := w.share*float64(attempts) + w.slack
	if allowed < 1 && chanceFactor*allowed+w.draw >= 1 {
		return 1
	}
	return allowed
}

// Refund returns a retry that was taken at the same time and not used.
func (w *Window) Refund(now clock.Millis) {
	current := w.partAt(now)
	current.retries = max(current.retries-1, 0)
}

// refundAt returns a retry that was taken at an earlier time and not used. A retry that no window
// contains any more needs no refund.
func (w *Window) refundAt(takenAt clock.Millis) {
	number := int64(takenAt / w.partLength)
	if p := &w.parts[number%int64(len(w.parts))]; p.number == number {
		p.retries = max(p.retries-1, 0)
	}
}

func (w *Window) partAt(now clock.Millis) *windowPart {
	number := int64(now / w.partLength)
	p := &w.parts[number%int64(len(w.parts))]
	if p.number != number {
		*p = windowPart{number: number}
	}
	return p
}

func (w *Window) sums(newest int64) (attempts, retries int) {
	for _, p := range w.parts {
		if p.number > newest-int64(len(w.parts)) {
			retries += p.retries
		}
		if p.number > newest-windowParts {
			attempts += p.firstAttempts
		}
	}
	return attempts, retries
}

// spare returns by how much a part of the allowance exceeds the retries of the window. An
// allowance below one is not raised to one.
func (w *Window) spare(now clock.Millis, part float64) float64 {
	attempts, retries := w.sums(w.partAt(now).number)
	return part*(w.share*float64(attempts)+w.slack) - float64(retries+w.lentAt(now))
}

// reserve counts retries as made until a time.
func (w *Window) reserve(until clock.Millis, retries int) {
	w.lent = append(w.lent, Loan{Retries: retries, Until: until})
}

// lentAt returns the number of lent retries that count as made.
func (w *Window) lentAt(now clock.Millis) int {
	w.lent = slices.DeleteFunc(w.lent, func(l Loan) bool { return now > l.Until })
	n := 0
	for _, l := range w.lent {
		n += l.Retries
	}
	return n
}
