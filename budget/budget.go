// Package budget limits retries to a share of the traffic, so that retries do not overload a
// failing pool of upstreams.
//
//	b := budget.New(budget.WithShare(0.1))
//	b.Deposit()          // for each first attempt
//	if b.TryWithdraw() { // for each retry
//	}
package budget

// Budget is a token bucket of retries. It is not safe for concurrent use.
type Budget struct {
	share   float64
	burst   float64
	balance float64
}

// Option configures a Budget.
type Option func(*Budget)

// WithShare sets the number of retries that each first attempt adds to the budget.
func WithShare(share float64) Option { return func(b *Budget) { b.share = share } }

// WithBurst sets the maximum and initial number of available retries.
func WithBurst(burst float64) Option { return func(b *Budget) { b.burst = burst } }

// Defaults of a Budget. The burst allows a route with little traffic to retry all requests of one
// crashed upstream.
const (
	DefaultShare = 0.2
	DefaultBurst = 64
)

// New returns a budget with the maximum number of retries.
func New(opts ...Option) *Budget {
	b := &Budget{share: DefaultShare, burst: DefaultBurst}
	for _, opt := range opts {
		opt(b)
	}
	b.balance = b.burst
	return b
}

// Deposit adds the share of one first attempt.
func (b *Budget) Deposit() { b.balance = min(b.balance+b.share, b.burst) }

// TryWithdraw takes one retry and reports whether one was available.
func (b *Budget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
