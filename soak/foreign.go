package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// foreignSeed selects the random stream of the entries of another writer.
	foreignSeed = 63
	// maxForeignPause bounds the pause between two batches of these, maxForeignEntries the entries of
	// a batch, and foreignInterval is the heartbeat interval after three of which they lapse.
	maxForeignPause   = 3 * time.Second
	maxForeignEntries = 40
	foreignInterval   = 700 * time.Millisecond
)

// foreignEntries are entries of another writer in the list of upstreams. %d is a start time.
var foreignEntries = []string{
	`{"coldLeftMs":1e9999999}`,
	`{"service":"billing","address":"127.0.0.1:9","zone":"dc-1","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"sequence":1,"born":%d}`,
	`{"service":"billing","address":"127.0.0.1:9","zone":"dc-1","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"sequence":1}`,
	`{"service":"desk","address":"127.0.0.1:9","zone":"dc-1","version":"v1","slots":"4","state":"ready","coldLeftMs":0,"sequence":1,"born":%d}`,
	`{"service":"desk","address":"127.0.0.1:9","zone":"dc-1","version":"v1","slots":4,"state":"resting","coldLeftMs":0,"sequence":1,"born":%d}`,
	strings.Repeat("[", 2000), "\xff\xfe",
}

// foreignSeries writes batches of one kind of entry of another writer into the list of upstreams, in
// parallel with the other faults.
func (r *runner) foreignSeries(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, time.Duration(random.Int64N(int64(maxForeignPause)))); ctx.Err() == nil; sleep(ctx, time.Duration(random.Int64N(int64(maxForeignPause)))) {
		entry, count := foreignEntries[random.IntN(len(foreignEntries))], 1+random.IntN(maxForeignEntries)
		entry = strings.ReplaceAll(entry, "%d", fmt.Sprint(time.Now().UnixMilli()))
		var failed error
		for i := range count {
			failed = errors.CombineErrors(failed, r.writeForeignEntry(fmt.Sprintf("x-%d", i), entry))
		}
		r.logFault(fmt.Sprintf("%d entries of another writer: %.40q", count, entry), 3*foreignInterval, failed)
	}
}

// writeForeignEntry writes an entry once, as a server does that ends then.
func (r *runner) writeForeignEntry(key, entry string) error {
	url := fmt.Sprintf("http://%s/beat/%s?every=%d", r.cluster.store.Address(), key, foreignInterval.Milliseconds())
	resp, err := httpClient.Post(url, "application/json", strings.NewReader(entry))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
