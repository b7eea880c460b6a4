//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// goneKey is the key that the operator takes away.
const goneKey = "anfqasnmgkcuyj8pjbvk"

// keyConfig returns a configuration of a version in which the tenant has some keys.
func keyConfig(version int, keys ...string) string {
	text := strings.Replace(streamConfig, `"version":7`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(text, `["`+siteKey+`"]`, `["`+strings.Join(keys, `","`)+`"]`, 1)
}

// oldCopy lets the store be away for a moment and come back from a copy that is some seconds old, while
// all nodes are killed and start again. The copy still has a key that the operator has taken away.
// Nothing with that key may run that is sent over revokeMs after the acknowledgement.
func oldCopy(b *bed) (broken bool, err error) {
	const (
		servers, nodes = 3, 3
		revoke         = 5 * time.Second
		// The kill follows the acknowledgement by killAfter. The processes start again after startAfter,
		// the store is away for away, and the operator writes again after rewriteAfter.
		killAfter, startAfter, away, rewriteAfter = 6 * time.Second, 300 * time.Millisecond, time.Second, 1500 * time.Millisecond
	)
	store, err := b.startStore(keyConfig(7, siteKey, goneKey))
	if err != nil {
		return false, err
	}
	var serving []*process
	for i := range servers {
		s, err := b.startServer(fmt.Sprintf("i-7f3a91c%d", i), store, "-events", "5", "-pause", "5ms")
		if err != nil {
			return false, err
		}
		serving = append(serving, s)
	}
	var addresses [nodes]nodeAddresses
	var seeds []string
	for i := range addresses {
		if addresses[i], err = newNodeAddresses(); err != nil {
			return false, err
		}
		seeds = append(seeds, addresses[i].peer)
	}
	var running [nodes]*process
	name := func(i int) string { return fmt.Sprintf("front-suwon-hall-%d", i+1) }
	for i, a := range addresses {
		if running[i], err = b.startNode(name(i), "suwon-hall", store, a, seeds, ""); err != nil {
			return false, err
		}
	}
	b.note("store, %d servers and %d nodes are ready", servers, nodes)
	time.Sleep(8 * time.Second)
	if err := post(store, "/drill/copy", ""); err != nil {
		return false, err
	}
	b.note("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	if err := post(store, "/operator", keyConfig(9, siteKey)); err != nil {
		return false, err
	}
	acked := time.Now()
	b.note("version 9, without the key, is acknowledged")
	clients := newKeyClients(addresses[:])
	time.Sleep(time.Until(acked.Add(killAfter)))
	if b.trouble {
		if err := post(store, "/faults", `{"down":true}`); err != nil {
			return false, err
		}
		for _, p := range running {
			p.signal(syscall.SIGKILL)
		}
		b.note("the store is away, and all nodes are killed")
	}
	wentAway := time.Now()
	time.Sleep(startAfter)
	if b.trouble {
		for i, a := range addresses {
			if running[i], err = b.launchNode(name(i), "suwon-hall", store, a, seeds, false, ""); err != nil {
				return false, err
			}
		}
		b.note("the nodes are started again")
		time.Sleep(time.Until(wentAway.Add(away)))
		if err := post(store, "/drill/return", ""); err != nil {
			return false, err
		}
		if err := post(store, "/faults", `{}`); err != nil {
			return false, err
		}
		b.note("the store is back, from the copy")
	}
	time.Sleep(time.Until(wentAway.Add(away + rewriteAfter)))
	if b.trouble {
		if err := post(store, "/operator", keyConfig(9, siteKey)); err != nil {
			return false, err
		}
		b.note("the operator has written version 9 again")
	}
	time.Sleep(2 * time.Second)
	attempts := clients.stop()
	ran := map[string]bool{}
	for _, s := range serving {
		for _, id := range s.runs() {
			ran[id] = true
		}
	}
	statuses := map[string]int{}
	late := 0
	for _, a := range attempts {
		statuses[fmt.Sprintf("%s: status %d, run: %v", a.key, a.status, ran[a.id])]++
		if a.key == goneKey && ran[a.id] && a.sentAt.Sub(acked) > revoke {
			late++
			if late <= 5 {
				b.note("%s, with the key that was taken away, is run by a server; sent %.3f s after the acknowledgement, %.3f s after the store went away; status %d", a.id, a.sentAt.Sub(acked).Seconds(), a.sentAt.Sub(wentAway).Seconds(), a.status)
			}
		}
	}
	for _, line := range sortedCounts(statuses) {
		b.note("%s", line)
	}
	b.note("%d requests with the key that was taken away ran, sent over %v after the acknowledgement", late, revoke)
	return late > 0, nil
}

// post sends a request of the operator or the platform to the store.
func post(store, path, body string) error {
	resp, err := http.Post("http://"+store+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("store: %s: status %d", path, resp.StatusCode)
	}
	return nil
}

// sortedCounts returns the counts as lines in order.
func sortedCounts(counts map[string]int) []string {
	var lines []string
	for what, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", what, n))
	}
	slices.Sort(lines)
	return lines
}

// keyAttempt is an attempt with a key.
type keyAttempt struct {
	*attempt
	key string
}

// keyClients are clients that send requests to nodes, in turn with either key.
type keyClients struct {
	wg       sync.WaitGroup
	stopping chan struct{}
	mu       sync.Mutex
	attempts []keyAttempt
}

// newKeyClients starts a client for each node and key.
func newKeyClients(nodes []nodeAddresses) *keyClients {
	c := &keyClients{stopping: make(chan struct{})}
	for n, a := range nodes {
		for k, key := range []string{siteKey, goneKey} {
			c.wg.Add(1)
			go c.run(a.caller, key, fmt.Sprintf("9c41d07b%d%d", n, k))
		}
	}
	return c
}

func (c *keyClients) run(address, key, prefix string) {
	defer c.wg.Done()
	const pause = 40 * time.Millisecond
	for i := 0; ; i++ {
		select {
		case <-c.stopping:
			return
		case <-time.After(pause):
		}
		conn, err := connect(address)
		if err != nil {
			continue
		}
		a := sendWithKey(conn, fmt.Sprintf("%s%06x", prefix, i), fmt.Sprintf("/pufi791/chunks/%d", i), key, 2*time.Second)
		c.mu.Lock()
		c.attempts = append(c.attempts, keyAttempt{attempt: a, key: key})
		c.mu.Unlock()
	}
}

// stop ends the clients and returns what they have sent, with all answers.
func (c *keyClients) stop() []keyAttempt {
	close(c.stopping)
	c.wg.Wait()
	for _, a := range c.attempts {
		select {
		case <-a.done:
		case <-time.After(5 * time.Second):
		}
	}
	return c.attempts
}
