//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// revokedKey is the key that the operator takes away.
const revokedKey = "anfqasnmgkcuyj8pjbvk"

// runRevokedAtCopy takes a key away, restores the store from a copy that is older, and
// starts one killed node again before the operator has written the configuration again.
// It counts the requests with the key that were sent too late and ran.
func runRevokedAtCopy(b *bed) (verdict, error) {
	const (
		// copyAge is the age of the copy when the store comes back from it.
		copyAge = 7 * time.Second
		// rewriteDelay is the time until the operator has written its newest configuration again.
		rewriteDelay = 1500 * time.Millisecond
	)
	b.putConfig(7, usualKey, revokedKey)
	if err := b.startSite(true); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contact)
	b.store.Backup()
	b.record("copy_taken")
	taken := time.Now()
	time.Sleep(200 * time.Millisecond)
	b.putConfig(9, usualKey)
	acknowledged := time.Now()
	n := b.nodes[1]
	time.Sleep(time.Until(taken.Add(copyAge - time.Second)))
	n.hold()
	time.Sleep(time.Until(taken.Add(copyAge)))
	if b.trouble {
		b.store.Restore()
		b.record("store_back_from_copy")
	}
	late := b.askRepeatedly(n, revokedKey, 6*time.Second)
	n.release()
	time.Sleep(rewriteDelay)
	if b.trouble {
		b.putConfig(9, usualKey)
	}
	attempts := late()
	if !n.ready() {
		return verdict{}, errors.New("the node is not ready at the end")
	}
	ran := 0
	for _, a := range attempts {
		if a.sentAt.After(acknowledged.Add(revokeBound)) && a.served {
			ran++
			b.record("ran_with_revoked_key id=%s sent_after_acknowledgement=%v", a.id, a.sentAt.Sub(acknowledged))
		}
	}
	return verdict{
		broken: ran > 0,
		text:   fmt.Sprintf("%d of %d requests with a revoked key ran, sent more than %v after the acknowledgement", ran, len(attempts), revokeBound),
	}, nil
}

// askRepeatedly sends requests with a key to a node, one each 15 ms, for a time. The
// result waits for the end and returns the attempts.
func (b *bed) askRepeatedly(n *node, key string, during time.Duration) (wait func() []attempt) {
	var mu sync.Mutex
	var all []attempt
	var pending sync.WaitGroup
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for i, end := 0, time.Now().Add(during); time.Now().Before(end) && b.ctx.Err() == nil; i++ {
			pending.Go(func() {
				a := b.ask(n, http.MethodGet, fmt.Sprintf("%sr%d/", safePath, i), key)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			})
			time.Sleep(15 * time.Millisecond)
		}
		pending.Wait()
	}()
	return func() []attempt {
		<-finished
		return all
	}
}
