package rehearse

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// readinessInterval is how often the balancer asks whether a node is ready, and maxMisses after
	// how many questions in vain it gets no new connections.
	readinessInterval = time.Second
	maxMisses         = 2
)

// balancer hands callers' connections to the nodes of their data centre that are ready, as the
// platform does.
type balancer struct {
	nodes  []*relayNode
	client *http.Client

	mu     sync.Mutex
	misses []int
}

func newBalancer(nodes []*relayNode) *balancer {
	return &balancer{nodes: nodes, client: &http.Client{Timeout: readinessInterval / 2}, misses: make([]int, len(nodes))}
}

// run asks all nodes until the context ends.
func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		for i := range b.nodes {
			go b.checkReadiness(ctx, i)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func (b *balancer) checkReadiness(ctx context.Context, i int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.nodes[i].readinessAddress+"/readiness", nil)
	if err != nil {
		return
	}
	ready := false
	if resp, err := b.client.Do(req); err == nil {
		ready = resp.StatusCode == http.StatusOK
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[i] = 0
	} else {
		b.misses[i]++
	}
}

// pick picks a node for a connection of a caller of a data centre, by a number of the caller's.
// Where under half of the data centre's nodes are ready all of them are used.
func (b *balancer) pick(centre string, number uint64) *relayNode {
	b.mu.Lock()
	defer b.mu.Unlock()
	var here, ready []*relayNode
	for i, n := range b.nodes {
		if n.dataCentre != centre {
			continue
		}
		here = append(here, n)
		if b.misses[i] < maxMisses {
			ready = append(ready, n)
		}
	}
	if 2*len(ready) < len(here) {
		ready = here
	}
	if len(ready) == 0 {
		ready = b.nodes
	}
	return ready[number%uint64(len(ready))]
}
