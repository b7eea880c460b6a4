//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// runFailedThoughRan lets servers fail requests that they have run, with 503 and their
// seal, but without Not-Executed. It counts the requests that may run once and got one of
// the statuses that promise that they have not run.
func runFailedThoughRan(b *bed) (verdict, error) {
	b.putConfig(7, usualKey)
	if err := b.startSite(true); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contact)
	for _, s := range b.servers {
		s.failing.Store(b.trouble)
	}
	asked, refused := 0, 0
	for i := range 60 {
		a := b.ask(b.nodes[i%len(b.nodes)], http.MethodPost, fmt.Sprintf("%s%d/", unsafePath, i), usualKey)
		asked++
		if _, ran := b.runs.Load(a.id); ran && promisesNotRun(a.status) {
			refused++
		}
		time.Sleep(trafficInterval)
	}
	return verdict{
		broken: refused > 0,
		text:   fmt.Sprintf("%d of %d requests that may run once got a status that promises that they have not run, and had run", refused, asked),
	}, nil
}

// promisesNotRun reports whether a status promises that a request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
