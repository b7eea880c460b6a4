//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// deadline is the time that a client waits for an answer.
const deadline = 1500 * time.Millisecond

// attempt is one try of a client, and how it ended.
type attempt struct {
	id     string
	sentAt time.Time
	status int
	served bool
	err    error
}

var lastID atomic.Int64

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("9c41%012x", lastID.Add(1)) }

// ask sends a request to a node on a new connection.
func (b *bed) ask(n *node, method, path, key string) attempt {
	a := attempt{id: newID(), sentAt: time.Now()}
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", 600)
	}
	req, err := http.NewRequestWithContext(b.ctx, method, "http://"+n.settings["listen.front"]+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Remaining-Ms", fmt.Sprint(deadline.Milliseconds()))
	b.record("sent id=%s to=%s %s %s key=%s", a.id, n.name, method, path, key)
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		b.record("answer id=%s none error=%q", a.id, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	a.status, a.err = resp.StatusCode, err
	a.served = err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Response-Seal") == "seal."+a.id && string(got) == answerBody(path, len(body))
	b.record("answer id=%s status=%d served=%t", a.id, a.status, a.served)
	return a
}

// traffic sends requests of both routes to all nodes in turn, one each interval, until
// stop is closed, and returns all attempts.
func (b *bed) traffic(key string, interval time.Duration, stop <-chan struct{}) <-chan []attempt {
	result := make(chan []attempt, 1)
	b.clients.Add(1)
	go func() {
		defer b.clients.Done()
		done := make(chan attempt, 1<<14)
		pending := 0
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for running := true; running; {
			select {
			case <-stop:
				running = false
			case <-b.ctx.Done():
				running = false
			case <-tick.C:
				n := b.nodes[pending%len(b.nodes)]
				method, path := http.MethodGet, fmt.Sprintf("%s%d/", safePath, pending)
				if pending%3 == 0 {
					method, path = http.MethodPost, fmt.Sprintf("%s%d/", unsafePath, pending)
				}
				pending++
				go func() { done <- b.ask(n, method, path, key) }()
			}
		}
		var all []attempt
		for range pending {
			all = append(all, <-done)
		}
		result <- all
	}()
	return result
}

// servedIn returns how many of the attempts sent in a span were served, and how many
// there are.
func servedIn(all []attempt, from, to time.Time) (served, total int) {
	for _, a := range all {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		total++
		if a.served {
			served++
		}
	}
	return served, total
}
