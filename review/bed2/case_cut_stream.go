//go:build review2

package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// streamConfig is a configuration with a route of streams that may be resumed.
const streamConfig = `{"version":7,"routes":[{"name":"r-fi6y7z5","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming",
"timeoutMs":20000,"targetLatencyMs":500,"priority":1,"service":"huvo11a","maxAttempts":2,"anonymous":false,"affinity":true,"streamResume":true,"gap_aim_ms":200}],
"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":898,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["` + siteKey + `"],"priority":1}]}`

// cutStream kills a server while it answers with streams. At half of the servers one answer of 40 has
// neither a length nor chunks and ends with its connection. A stream whose server has died must be resumed
// at another server or be broken off; it must not end as complete before its last event.
func cutStream(b *bed) (broken bool, err error) {
	const serverCount, events, streams = 8, 77, 320
	store, err := b.startStore(streamConfig)
	if err != nil {
		return false, err
	}
	var servers []*process
	for i := range serverCount {
		flags := []string{"-pause", "50ms"}
		if i < serverCount/2 {
			flags = append(flags, "-unframed-every", "40")
		}
		s, err := b.startServer(fmt.Sprintf("i-7f3a91c%d", i), store, flags...)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	a, err := newNodeAddresses()
	if err != nil {
		return false, err
	}
	if _, err := b.startNode("front-suwon-hall-1", "suwon-hall", store, a, nil, ""); err != nil {
		return false, err
	}
	b.note("store, %d servers and a node are ready", len(servers))
	var attempts []*attempt
	for i := range streams {
		conn, err := connect(a.caller)
		if err != nil {
			return false, err
		}
		attempts = append(attempts, send(conn, fmt.Sprintf("9c41d07be2a3%04x", i), fmt.Sprintf("/pufi791/streams/%d", i), 20*time.Second))
		time.Sleep(5 * time.Millisecond)
	}
	const before = 15
	for deadline := time.Now().Add(startWait); slices.ContainsFunc(attempts, func(a *attempt) bool { return a.events.Load() < before }); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, fmt.Errorf("the streams did not begin")
		}
	}
	victim := servers[0]
	for _, s := range servers {
		b.note("server %s has run %d streams, of which without length and chunks: %v", s.name, len(s.runs()), s.logged("unframed"))
		if len(s.logged("unframed")) > len(victim.logged("unframed")) {
			victim = s
		}
	}
	hit := victim.runs()
	killedAt := time.Now()
	if b.trouble {
		victim.signal(syscall.SIGKILL)
		b.note("server %s is killed", victim.name)
	}
	complete, wholeAtVictim := 0, 0
	for _, at := range attempts {
		<-at.done
		lost := slices.Contains(hit, at.id)
		got := at.body
		switch {
		case at.err == nil && got == whole(at.path, events):
			complete++
			if lost {
				wholeAtVictim++
			}
		case at.err == nil && at.status == 200:
			broken = true
			b.note("%s (at the victim: %v; without length and chunks: %v): status 200, ends as complete after %d of %d events", at.id, lost, slices.Contains(victim.logged("unframed"), at.id), strings.Count(got, "\n\n"), events)
		default:
			b.note("%s (at the victim: %v): status %d, broken off after %d events: %v", at.id, lost, at.status, strings.Count(got, "\n\n"), at.err)
		}
	}
	b.note("%d of %d streams are whole, of them %d of the %d that %s had; the last ended %.1f s after the kill", complete, streams, wholeAtVictim, len(hit), victim.name, time.Since(killedAt).Seconds())
	return broken, nil
}

// count returns how many of the attempts with a word in their path a server has run.
func count(s *process, attempts []*attempt, word string) int {
	ids, n := s.runs(), 0
	for _, a := range attempts {
		if strings.Contains(a.path, word) && slices.Contains(ids, a.id) {
			n++
		}
	}
	return n
}
