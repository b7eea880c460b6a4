package fairqueue

// PushOption says how an item is to be queued.
type PushOption func(*pushOptions)

type pushOptions struct {
	account  string
	weight   float64
	priority int
	cost     float64
}

// WithAccount names the client account that the item counts for, and its
// weight among accounts of the same priority.
func WithAccount(name string, weight float64) PushOption {
	return func(p *pushOptions) {
		p.account = name
		p.weight = max(weight, 1)
	}
}

// WithPriority sets the level, from 0 (first) to Priorities-1.
func WithPriority(priority int) PushOption {
	return func(p *pushOptions) { p.priority = min(max(priority, 0), Priorities-1) }
}

// WithCost sets how much work the item is, in any unit that is the same for
// all items; tokens, say.
func WithCost(cost float64) PushOption { return func(p *pushOptions) { p.cost = cost } }
