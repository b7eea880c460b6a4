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
type Window struct {
	part  clock.Millis
	share float64
	slack float64
	parts [windowParts + 1]windowPart
}

// windowPart counts one part of the time; its number tells a stale one.
type windowPart struct {
	number  int64
	first   int
	retries int
}

// NewWindow returns a budget of a share and a slack in each window of a length.
func NewWindow(length clock.Millis, share, slack float64) *Window {
	return &Window{part: max(length/windowParts, 1), share: share, slack: slack}
}

// Set changes the share, and the number of retries beyond it.
func (w *Window) Set(share, slack float64) { w.share, w.slack = share, slack }

// Earn counts one first try.
func (w *Window) Earn(now clock.Millis) { w.at(now).first++ }

// Spend takes one retry, and reports whether there was one.
func (w *Window) Spend(now clock.Millis) bool {
	current := w.at(now)
	first, retries := w.sums(current.number)
	if float64(retries+1) > w.share*float64(first)+w.slack {
		return false
	}
	current.retries++
	return true
}

// Return gives back a retry that was taken at the same moment and not made.
func (w *Window) Return(now clock.Millis) {
	current := w.at(now)
	current.retries = max(current.retries-1, 0)
}

func (w *Window) at(now clock.Millis) *windowPart {
	number := int64(now / w.part)
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
			first += p.first
		}
	}
	return first, retries
}
