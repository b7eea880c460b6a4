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
// all fields but one, whose number no reader can hold. The row stays, as it does while its
// writer writes the same again. Some seconds later a configuration
// is acknowledged and all processes are killed at once, the final fault.
func runNumberInEntry(b *bed) (verdict, error) {
	const timeWithEntry = 5 * time.Second
	b.putConfig(7, usualKey)
	if err := b.startSite(true); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	result := b.traffic(usualKey, trafficInterval, stop)
	time.Sleep(10 * time.Second)
	if b.trouble {
		b.store.Put("servers", "w-elsewhere", []byte(`{"coldLeftMs":1e9999999}`))
		b.record("entry_of_another_writer")
	}
	time.Sleep(timeWithEntry)
	f := b.finalFault()
	f.wait(stop)
	v := f.verdict(<-result)
	ends := 0
	for _, n := range b.nodes {
		b.record("ends node=%s by_itself=%d", n.name, n.ends())
		ends += n.ends()
	}
	v.text += fmt.Sprintf("; processes that ended by themselves: %d on %d nodes", ends, len(b.nodes))
	return v, nil
}

// finalFault is the last fault of a case: all processes are killed right after a
// configuration was acknowledged.
type finalFault struct {
	bed *bed
	// at is when the processes were killed, back when the machines were back, and end when
	// the traffic ended.
	at, back, end time.Time
}

func (b *bed) finalFault() *finalFault {
	b.putConfig(9, usualKey)
	f := &finalFault{bed: b, at: time.Now()}
	for _, n := range b.nodes {
		n.kill()
	}
	time.Sleep(restartDelay)
	f.back = time.Now()
	return f
}

// wait lets the traffic go on until well after the time for the recovery, and ends it.
func (f *finalFault) wait(stop chan<- struct{}) {
	time.Sleep(recovery + 10*time.Second)
	f.end = time.Now()
	close(stop)
}

// verdict compares what was served before the final fault and after the recovery.
func (f *finalFault) verdict(all []attempt) verdict {
	served, total := servedIn(all, f.bed.began, f.at)
	servedAfter, totalAfter := servedIn(all, f.back.Add(recovery), f.end)
	return verdict{
		broken: 4*served >= total && 4*servedAfter < totalAfter,
		text: fmt.Sprintf("served %d of %d before the final fault, %d of %d of those sent more than %v after the machines were back",
			served, total, servedAfter, totalAfter, recovery),
	}
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
	f := b.finalFault()
	f.wait(stop)
	return f.verdict(<-result), nil
}
