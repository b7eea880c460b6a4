package load

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/standin"
)

// Runner replays a trace against nodes and collects the results.
type Runner struct {
	client  *Client
	nodes   []string
	keys    map[string]string
	layers  uint32
	tries   int
	timeout time.Duration
	seed    uint64
}

// Option configures a Runner.
type Option func(*Runner)

// WithKeys sets the key of each client account, by account name.
func WithKeys(keys map[string]string) Option { return func(r *Runner) { r.keys = keys } }

// WithLayers sets the number of layers of the model from which the expected
// responses are computed.
func WithLayers(n uint32) Option { return func(r *Runner) { r.layers = n } }

// WithTries sets the maximum number of attempts per item. An item is retried if it was
// not executed, or, with the same key, if its outcome is unknown.
func WithTries(n int) Option { return func(r *Runner) { r.tries = n } }

// WithAttemptTimeout sets the timeout of one attempt.
func WithAttemptTimeout(d time.Duration) Option { return func(r *Runner) { r.timeout = d } }

// WithSeed sets the seed of the random order of nodes.
func WithSeed(seed uint64) Option { return func(r *Runner) { r.seed = seed } }

// NewRunner returns a Runner that distributes requests uniformly over nodes.
func NewRunner(nodes []string, opts ...Option) *Runner {
	r := &Runner{client: NewClient(), nodes: nodes, tries: 1, timeout: 30 * time.Second}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run sends every item at its scheduled time and returns the results in the order
// of the trace.
func (r *Runner) Run(ctx context.Context, items []Item) []Result {
	defer r.client.Close()
	results := make([]Result, len(items))
	rng := rand.New(rand.NewPCG(r.seed, 0))
	start := time.Now()
	var wg sync.WaitGroup
	for i, item := range items {
		order := rng.Perm(len(r.nodes))
		scheduled := start.Add(time.Duration(item.ArrivalMS) * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(scheduled)):
		}
		wg.Go(func() { results[i] = r.sendItem(ctx, item, scheduled, order) })
	}
	wg.Wait()
	return results
}

// sendItem sends one item until it needs no retry or its attempts are used up. Each
// attempt goes to the next node, as with a round-robin load balancer.
func (r *Runner) sendItem(ctx context.Context, item Item, scheduled time.Time, order []int) Result {
	result := Result{Item: item, Scheduled: scheduled}
	if item.Ticket {
		item.Key = r.fetchTicket(ctx, item, order)
	}
	for attempt := 1; attempt <= r.tries; attempt++ {
		node := r.nodes[order[attempt%len(order)]]
		attemptCtx, cancel := context.WithTimeout(ctx, r.timeout)
		sent := time.Now()
		resp, err := r.client.Send(attemptCtx, node, r.keys[item.Account], item, attempt)
		cancel()
		result.add(resp, err, sent.Sub(scheduled))
		if !shouldRetry(item, resp, err) || attempt == r.tries {
			break
		}
		if !sleep(ctx, resp.RetryAfter) {
			break
		}
	}
	result.Finished = time.Now()
	result.Correct = r.isCorrect(item, &result)
	return result
}

func (r *Runner) fetchTicket(ctx context.Context, item Item, order []int) string {
	for _, i := range order {
		tickets, err := r.client.Tickets(ctx, r.nodes[i], r.keys[item.Account], 1)
		if err == nil && len(tickets) > 0 {
			return tickets[0]
		}
	}
	return ""
}

// shouldRetry reports whether a caller would retry: if the attempt returned an error, the
// request was not executed, or its outcome is unknown and a key prevents a second execution.
func shouldRetry(item Item, a Response, err error) bool {
	if err != nil {
		return true
	}
	return a.Outcome == outcome.NotExecuted || (a.Outcome == outcome.Unknown && item.Key != "")
}

// minRetryDelay is the shortest delay before a retry, also used when no Retry-After was received.
const minRetryDelay = 50 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, minRetryDelay)):
		return true
	}
}

// isCorrect reports whether the result is done and equals the expected response.
func (r *Runner) isCorrect(item Item, result *Result) bool {
	if result.Outcome != outcome.Done {
		return false
	}
	if item.Service != "" {
		want := standin.ServiceAnswer(item.Service, item.Path, []byte(item.Body))
		return slices.Equal(result.Body, want)
	}
	return slices.Equal(result.Texts, standin.ReferenceAnswer(item.Prompt, r.layers, item.MaxTokens))
}
