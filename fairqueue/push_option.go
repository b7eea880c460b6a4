package fairqueue

// PushOption sets a property of a pushed item.
type PushOption func(*pushOptions)

type pushOptions struct {
	account  string
	weight   float64
	priority int
	cost     float64
}

// WithAccount sets the client account of the item, and the weight of the account among
// the accounts of the same priority. A weight below 1 counts as 1.
func WithAccount(name string, weight float64) PushOption {
	return func(p *pushOptions) {
		p.account = name
		p.weight = max(weight, 1)
	}
}

// WithPriority sets the level, from 0 (served first) to Priorities-1. Other values are
// clamped to that range.
func WithPriority(priority int) PushOption {
	return func(p *pushOptions) { p.priority = min(max(priority, 0), Priorities-1) }
}

// WithCost sets the cost of serving the item, in a unit common to all items, such as
// tokens.
func WithCost(cost float64) PushOption { return func(p *pushOptions) { p.cost = cost } }
