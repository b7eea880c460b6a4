//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainHost is the host of the plain service.
const plainHost = "wuno96.example"

// foreignLayersConfig is onceConfig with a plain service beside the model of 12 layers.
var foreignLayersConfig = strings.NewReplacer(
	`"routes":[`, `"routes":[{"name":"r-plain","host":"`+plainHost+`","pathPrefix":"/plain/","kind":"unsafe",
"timeoutMs":10000,"targetLatencyMs":2000,"priority":1,"service":"wuno96b","maxAttempts":1,"anonymous":false,"affinity":false,"streamResume":false},`,
	`"services":[`, `"services":[{"name":"wuno96b","healthPath":"/health","maxConnections":898,"protocol":"h1","tls":false},`,
).Replace(onceConfig)

// foreignEntry is an entry of another writer: it has neither stage nor models, and its layers are none
// of the model's.
const foreignEntry = `{"service":"huvo11a","address":"127.0.0.1:9","zone":"elsewhere","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"sequence":1,"kind":"small","layers":{"from":12,"targetVersion":16}}`

// foreignLayers writes one entry of another writer to the list of servers, while clients send requests
// over kept connections. No node may close such a connection without an answer to a request that it has
// passed on to a sound server.
func foreignLayers(b *bed) (broken bool, err error) {
	const (
		engines, servers, nodes, connections = 4, 3, 3, 12
		settle, watch                        = 8 * time.Second, 25 * time.Second
		// lostAllowed is the rule's "more than three times".
		lostAllowed = 3
	)
	store, err := b.startStore(foreignLayersConfig)
	if err != nil {
		return false, err
	}
	for i := range engines {
		name := fmt.Sprintf("i-7f3a91%02d", i)
		p, err := b.start(name, "review-2", "engine", "-id", name, "-store", store)
		if err != nil {
			return false, err
		}
		if _, err := p.await(`listening (\S+)`); err != nil {
			return false, err
		}
	}
	var serving []*process
	for i := range servers {
		s, err := b.startServer(fmt.Sprintf("i-7f3a91c%d", i), store, "-service", "wuno96b", "-events", "1", "-pause", "800ms")
		if err != nil {
			return false, err
		}
		serving = append(serving, s)
	}
	var machines [nodes]*machine
	var seeds []string
	for i := range machines {
		m := &machine{bed: b, name: fmt.Sprintf("front-suwon-hall-%d", i+1), store: store, stopping: make(chan struct{})}
		if m.addresses, err = newNodeAddresses(); err != nil {
			return false, err
		}
		machines[i] = m
		seeds = append(seeds, m.addresses.peer)
	}
	for _, m := range machines {
		m.seeds = seeds
		if m.process, err = b.startNode(m.name, "suwon-hall", store, m.addresses, seeds, ""); err != nil {
			return false, err
		}
	}
	var wg sync.WaitGroup
	stopping := make(chan struct{})
	var clients []*keptClient
	for n, m := range machines {
		for c := range connections {
			client := &keptClient{address: m.addresses.caller, machine: m.name, prefix: fmt.Sprintf("9c41d07b%x%02x", n, c), stopping: stopping}
			clients = append(clients, client)
			wg.Go(client.run)
		}
	}
	for _, m := range machines {
		wg.Go(m.keep)
	}
	b.note("store, %d engines, %d plain servers and %d nodes are ready; %d clients send over kept connections", engines, servers, nodes, len(clients))
	time.Sleep(settle)
	if b.trouble {
		if err := post(store, "/beat/w-7f3a91?every=60000", foreignEntry); err != nil {
			return false, err
		}
		b.note("an entry of another writer is in the list of servers: %s", foreignEntry)
	}
	time.Sleep(watch)
	close(stopping)
	for _, m := range machines {
		close(m.stopping)
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, s := range serving {
		for _, id := range s.runs() {
			ran[id] = true
		}
	}
	for _, m := range machines {
		answered, failed, lost := 0, 0, 0
		for _, c := range clients {
			if c.machine != m.name {
				continue
			}
			answered += c.answered
			failed += c.failed
			for _, u := range c.unanswered {
				// Until its first end a machine is in touch beyond doubt.
				if ran[u.id] && (m.ends == 0 || u.sentAt.Before(m.firstEnd)) {
					lost++
				}
			}
		}
		broken = broken || lost > lostAllowed
		b.note("%s: the process ended by itself %d times: %s; %d requests answered with 200, %d not; until the first end %d requests were run by a sound server, and their kept connection closed with no answer", m.name, m.ends, m.reason, answered, failed, lost)
	}
	return broken, nil
}

// machine is a machine whose process the platform starts again if it ends by itself.
type machine struct {
	bed         *bed
	name, store string
	addresses   nodeAddresses
	seeds       []string
	process     *process
	stopping    chan struct{}
	ends        int
	firstEnd    time.Time
	reason      string
}

// keep starts the process again, with the settings of a machine that is not new, until it is told to
// stop.
func (m *machine) keep() {
	const startAfter = 300 * time.Millisecond
	for {
		select {
		case <-m.stopping:
			return
		case <-m.process.done:
		}
		if m.ends == 0 {
			m.firstEnd = time.Now()
		}
		m.ends++
		m.reason, _ = m.process.await(`(?m)^panic: (.*)$`)
		m.bed.note("%s: the process has ended by itself: %s", m.name, m.reason)
		time.Sleep(startAfter)
		p, err := m.bed.launchNode(m.name, "suwon-hall", m.store, m.addresses, m.seeds, false, "")
		if err != nil {
			m.bed.note("%s: not started: %v", m.name, err)
			return
		}
		m.process = p
	}
}

// keptClient sends one request after the other over a connection that it keeps.
type keptClient struct {
	address, machine, prefix string
	stopping                 chan struct{}
	answered, failed         int
	// unanswered are the requests on a kept connection that closed without a byte of an answer.
	unanswered []unansweredRequest
}

type unansweredRequest struct {
	id     string
	sentAt time.Time
}

func (c *keptClient) run() {
	const pause = 50 * time.Millisecond
	var conn net.Conn
	var reader *bufio.Reader
	kept := false
	for i := 0; ; i++ {
		select {
		case <-c.stopping:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(pause):
		}
		if conn == nil {
			var err error
			if conn, err = connect(c.address); err != nil {
				conn = nil
				c.failed++
				continue
			}
			reader, kept = bufio.NewReader(conn), false
		}
		id := fmt.Sprintf("%s%05x", c.prefix, i)
		sentAt := time.Now()
		status, silent, err := exchangeKept(conn, reader, id)
		switch {
		case err == nil && status == http.StatusOK:
			c.answered++
			kept = true
			continue
		case silent && kept:
			c.unanswered = append(c.unanswered, unansweredRequest{id, sentAt})
		}
		c.failed++
		_ = conn.Close()
		conn = nil
	}
}

// exchangeKept sends a request and reads its answer. silent reports that the connection closed before
// the first byte of an answer.
func exchangeKept(conn net.Conn, reader *bufio.Reader, id string) (status int, silent bool, err error) {
	const longest = 12 * time.Second
	_ = conn.SetDeadline(time.Now().Add(longest))
	if _, err := fmt.Fprintf(conn, "POST /plain/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining-Ms: 10000\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx",
		id, plainHost, id, siteKey); err != nil {
		return 0, false, err
	}
	if _, err := reader.Peek(1); err != nil {
		timeout, ok := err.(net.Error)
		return 0, !ok || !timeout.Timeout(), err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, false, err
}
