//go:build review

package main

import (
	"fmt"
	"time"
)

// usualKey is the key of the clients.
const usualKey = "n2ctnfzs989anu6wsjnb"

// trafficInterval is the pause between two requests of the clients.
const trafficInterval = 40 * time.Millisecond

// runNumberInEntry lets another writer put an entry into the list of servers that lacks
// all fields but one, whose number no reader can hold. It counts the ends of the nodes'
// processes.
func runNumberInEntry(b *bed) (verdict, error) {
	const (
		// endsPerNode is how often a process must end by itself for the rule to break, and
		// minNodes on how many machines: a tenth of them, two at least.
		endsPerNode = 3
		minNodes    = 2
	)
	b.putConfig(7, usualKey)
	if err := b.startSite(true); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	result := b.traffic(usualKey, trafficInterval, stop)
	time.Sleep(5 * time.Second)
	atEntry := time.Now()
	if b.trouble {
		b.store.Put("servers", "w-elsewhere", []byte(`{"coldLeftMs":1e9999999}`))
		b.record("entry_of_another_writer")
	}
	time.Sleep(15 * time.Second)
	end := time.Now()
	close(stop)
	all := <-result
	ended := 0
	for _, n := range b.nodes {
		b.record("ends node=%s by_itself=%d", n.name, n.ends())
		if n.ends() >= endsPerNode {
			ended++
		}
	}
	served, total := servedIn(all, b.began, atEntry)
	servedAfter, totalAfter := servedIn(all, atEntry, end)
	return verdict{
		broken: ended >= minNodes,
		text: fmt.Sprintf("%d of %d nodes ended by themselves %d times or more; served %d of %d before the entry, %d of %d after it",
			ended, len(b.nodes), endsPerNode, served, total, servedAfter, totalAfter),
	}, nil
}

// runStartInEntry lets another writer put an entry of a service that is not configured
// into the list of servers, whose servers do not tell when they started. Later a
// configuration is acknowledged and all processes are killed at once. It compares what is
// served before and after.
func runStartInEntry(b *bed) (verdict, error) {
	b.putConfig(7, usualKey)
	if err := b.startSite(false); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	result := b.traffic(usualKey, trafficInterval, stop)
	if b.trouble {
		b.store.Put("servers", "w-elsewhere", fmt.Appendf(nil,
			`{"service":"billing","address":"127.0.0.1:9","zone":"suwon-hall","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"sequence":1,"born":%d}`, time.Now().UnixMilli()))
		b.record("entry_of_another_writer")
	}
	time.Sleep(8 * time.Second)
	b.putConfig(9, usualKey)
	fault := time.Now()
	for _, n := range b.nodes {
		n.kill()
	}
	time.Sleep(restartDelay)
	back := time.Now()
	time.Sleep(recovery + 10*time.Second)
	end := time.Now()
	close(stop)
	all := <-result
	served, total := servedIn(all, b.began, fault)
	servedAfter, totalAfter := servedIn(all, back.Add(recovery), end)
	return verdict{
		broken: 4*served >= total && 4*servedAfter < totalAfter,
		text: fmt.Sprintf("served %d of %d before the final fault, %d of %d of those sent more than %v after the machines were back",
			served, total, servedAfter, totalAfter, recovery),
	}, nil
}
