//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runFavouredNode sends the new connections of all clients to one node, of which there are
// more than usual, and compares the share that is served at the first attempt with that
// before. It was tried for issue 65 and is no case.
func runFavouredNode(b *bed) (verdict, error) {
	b.putConfig(7, usualKey)
	if err := b.startSite(true); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contact)
	before := b.manyConnections(b.nodes, 20*time.Millisecond, 5*time.Second)
	targets := b.nodes
	if b.trouble {
		targets = b.nodes[:1]
	}
	b.record("connections nodes=%d", len(targets))
	from := time.Now().Add(contact)
	during := b.manyConnections(targets, 4*time.Millisecond, 15*time.Second)
	served, total := servedIn(before, b.began, time.Now())
	servedDuring, totalDuring := servedIn(during, from, time.Now())
	return verdict{
		broken: float64(servedDuring)/float64(totalDuring) < 0.75*float64(served)/float64(total),
		text:   fmt.Sprintf("served at the first attempt %d of %d before, %d of %d from %v on", served, total, servedDuring, totalDuring, contact),
	}, nil
}

// manyConnections sends requests on new connections to some nodes for a time and returns
// the attempts.
func (b *bed) manyConnections(targets []*node, interval, during time.Duration) []attempt {
	var mu sync.Mutex
	var all []attempt
	var pending sync.WaitGroup
	for i, end := 0, time.Now().Add(during); time.Now().Before(end) && b.ctx.Err() == nil; i++ {
		pending.Go(func() {
			a := b.ask(targets[i%len(targets)], http.MethodGet, fmt.Sprintf("%sm%d/", safePath, i), usualKey)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
		time.Sleep(interval)
	}
	pending.Wait()
	return all
}
