// Package budget bounds retries to a share of the traffic, so that a failing
// pool of upstreams is not buried under repeats of what it could not serve.
//
//	b := budget.New(budget.WithShare(0.1))
//	b.Earn()          // for each first try
//	if b.Spend() {    // for each retry
//	}
package budget

// Budget is a bucket of retries. It is not safe for concurrent use.
type Budget struct {
	share   float64
	burst   float64
	balance float64
}

// Option sets up a Budget.
type Option func(*Budget)

// WithShare sets how many retries each first try earns.
func WithShare(share float64) Option { return func(b *Budget) { b.share = share } }

// WithBurst sets how many retries may be saved up, and are there at the start.
func WithBurst(depth float64) Option { return func(b *Budget) { b.burst = depth } }

// Defaults of a Budget. The depth lets a route with little traffic survive the
// death of one upstream that holds all of its work.
const (
	DefaultShare = 0.2
	DefaultBurst = 64
)

// New returns a full budget.
func New(opts ...Option) *Budget {
	b := &Budget{share: DefaultShare, burst: DefaultBurst}
	for _, opt := range opts {
		opt(b)
	}
	b.balance = b.burst
	return b
}

// Deposit credits one first try.
func (b *Budget) Deposit() { b.balance = min(b.balance+b.share, b.burst) }

// TryWithdraw takes one retry, and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
