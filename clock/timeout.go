package clock

import "context"

// TimeoutFunc returns a context that ends when a limit has passed, like context.WithTimeout.
type TimeoutFunc func(ctx context.Context, limit Millis) (context.Context, context.CancelFunc)

// WithTimeout is the TimeoutFunc of context.WithTimeout.
func WithTimeout(ctx context.Context, limit Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, limit.Duration())
}
