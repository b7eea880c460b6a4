package rehearse

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// readinessInterval is the interval of the readiness checks of each node, and maxMisses the
	// number of consecutive failed checks after which a node gets no new connections.
	readinessInterval = time.Second
	maxMisses         = 2
)

// balancer assigns the callers' connections to the ready nodes of their data centre, as the
// platform's load balancer does. It is safe for concurrent use.
type balancer struct {
	nodes  []*relayNode
	client *http.Client

	mu     sync.Mutex
	misses []int
}

func newBalancer(nodes []*relayNode) *balancer {
	return &balancer{nodes: nodes, client: &http.Client{Timeout: readinessInterval / 2}, misses: make([]int, len(nodes))}
}

// run checks the readiness of all nodes until the context ends.
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

// pick returns the node for a connection of a caller, chosen by the caller's number among the
// ready nodes of its data centre. If less than half of these nodes are ready, it chooses among
// all of them.
func (b *balancer) pick(dataCentre string, number uint64) *relayNode {
	b.mu.Lock()
	defer b.mu.Unlock()
	var local, ready []*relayNode
	for i, n := range b.nodes {
		if n.dataCentre != dataCentre {
			continue
		}
		local = append(local, n)
		if b.misses[i] < maxMisses {
			ready = append(ready, n)
		}
	}
	if 2*len(ready) < len(local) {
		ready = local
	}
	if len(ready) == 0 {
		ready = b.nodes
	}
	return ready[number%uint64(len(ready))]
}
