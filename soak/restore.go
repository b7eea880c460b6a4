package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// restoreSeed selects the random stream of the store restores.
	restoreSeed = 62
	// maxBackupPause bounds the pause before a backup is made, maxBackupAge the age of a backup
	// at its restore, and maxStoreOutage how long the store is unavailable before the restore.
	maxBackupPause = 6 * time.Second
	maxBackupAge   = 4 * time.Second
	maxStoreOutage = 1200 * time.Millisecond
)

// restoreSeries restores the store from backups of itself, in parallel with the other faults.
// The operator's configuration is rewritten right after each restore.
func (r *runner) restoreSeries(ctx context.Context, random *rand.Rand) {
	draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	outageFaults := []standin.RowStoreFaults{{Down: true}, {Unresponsive: true}, {}}
	for sleep(ctx, draw(maxBackupPause)); ctx.Err() == nil; sleep(ctx, draw(maxBackupPause)) {
		fault, outage, age := outageFaults[random.IntN(len(outageFaults))], draw(maxStoreOutage), draw(maxBackupAge)
		err := postJSON("http://"+r.cluster.store.Address()+"/copy", nil)
		sleep(ctx, age)
		if fault != (standin.RowStoreFaults{}) && err == nil {
			err = r.cluster.setStoreFaults(fault)
			sleep(ctx, outage)
		}
		if err == nil {
			err = postJSON("http://"+r.cluster.store.Address()+"/return", nil)
		}
		if err == nil {
			err = r.cluster.setStoreFaults(standin.RowStoreFaults{})
		}
		r.logFault("restore the store from a backup", age, err)
	}
}
