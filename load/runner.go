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

// Runner sends a trace to nodes and gathers what comes of it.
type Runner struct {
	client *Client
	nodes  []string
	keys   map[string]string
	layers uint32
	tries  int
	wait   time.Duration
	seed   uint64
}

// Option sets up a Runner.
type Option func(*Runner)

// WithKeys sets the accounts' keys, by account.
func WithKeys(keys map[string]string) Option { return func(r *Runner) { r.keys = keys } }

// WithLayers sets the number of layers of the model that answers are checked
// against.
func WithLayers(n uint32) Option { return func(r *Runner) { r.layers = n } }

// WithTries sets how often an item is sent at the most: again when it was not
// run, and again with the same key when that is not known.
func WithTries(n int) Option { return func(r *Runner) { r.tries = n } }

// WithWait bounds one try.
func WithWait(d time.Duration) Option { return func(r *Runner) { r.wait = d } }

// WithSeed seeds the choice of nodes.
func WithSeed(seed uint64) Option { return func(r *Runner) { r.seed = seed } }

// NewRunner returns a runner that sends to nodes, each as likely as any other.
func NewRunner(nodes []string, opts ...Option) *Runner {
	r := &Runner{client: NewClient(), nodes: nodes, tries: 1, wait: 30 * time.Second}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run sends every item at its time and returns the results in the order of
// the trace.
func (r *Runner) Run(ctx context.Context, items []Item) []Result {
	defer r.client.Close()
	results := make([]Result, len(items))
	rng := rand.New(rand.NewPCG(r.seed, 0))
	start := time.Now()
	var wg sync.WaitGroup
	for i, item := range items {
		order := rng.Perm(len(r.nodes))
		due := start.Add(time.Duration(item.AtMS) * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(due)):
		}
		wg.Go(func() { results[i] = r.item(ctx, item, due, order) })
	}
	wg.Wait()
	return results
}

// item sends one item until it has an answer, or its tries are used up. Each
// try goes to the next node, as through a balancer.
func (r *Runner) item(ctx context.Context, item Item, due time.Time, order []int) Result {
	result := Result{Item: item, Due: due}
	if item.Ticket {
		item.Key = r.ticket(ctx, item, order)
	}
	for try := 1; try <= r.tries; try++ {
		node := r.nodes[order[try%len(order)]]
		tryCtx, cancel := context.WithTimeout(ctx, r.wait)
		sent := time.Now()
		answer, err := r.client.Send(tryCtx, node, r.keys[item.Account], item, try)
		cancel()
		result.add(answer, err, sent.Sub(due))
		if !again(item, answer, err) || try == r.tries {
			break
		}
		if !pause(ctx, answer.RetryAfter) {
			break
		}
	}
	result.Ended = time.Now()
	result.Correct = r.correct(item, &result)
	return result
}

func (r *Runner) ticket(ctx context.Context, item Item, order []int) string {
	for _, i := range order {
		tickets, err := r.client.Tickets(ctx, r.nodes[i], r.keys[item.Account], 1)
		if err == nil && len(tickets) > 0 {
			return tickets[0]
		}
	}
	return ""
}

// again reports whether a caller would ask again: when the request was not
// run, or when it has a key and so cannot run twice.
func again(item Item, a Answer, err error) bool {
	if err != nil {
		return true
	}
	return a.Outcome == outcome.NotExecuted || (a.Outcome == outcome.Unknown && item.Key != "")
}

// leastPause is how long a caller waits that has not been told.
const leastPause = 50 * time.Millisecond

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, leastPause)):
		return true
	}
}

// correct compares an answer with the one worked out here.
func (r *Runner) correct(item Item, result *Result) bool {
	if result.Outcome != outcome.Done {
		return false
	}
	if item.Service != "" {
		want := standin.ServiceAnswer(item.Service, item.Path, []byte(item.Body))
		return slices.Equal(result.Body, want)
	}
	return slices.Equal(result.Texts, standin.ReferenceAnswer(item.Prompt, r.layers, item.MaxTokens))
}
