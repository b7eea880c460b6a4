package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// restoreSeed is the part of the seed of the store's returns from a copy.
	restoreSeed = 62
	// maxBackupPause bounds the pause before a copy is made, maxBackupAge how old it gets, and
	// maxStoreOutage for how long the store is away before it comes back from it.
	maxBackupPause = 6 * time.Second
	maxBackupAge   = 4 * time.Second
	maxStoreOutage = 1200 * time.Millisecond
)

// restoreSeries has the store come back from copies of itself, beside all other harm. What the
// operator wrote is written again at once.
func (s *runner) restoreSeries(ctx context.Context, random *rand.Rand) {
	draw := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	ways := []standin.RowStoreFaults{{Down: true}, {Unresponsive: true}, {}}
	for sleep(ctx, draw(maxBackupPause)); ctx.Err() == nil; sleep(ctx, draw(maxBackupPause)) {
		away, lasts, age := ways[random.IntN(len(ways))], draw(maxStoreOutage), draw(maxBackupAge)
		err := postJSON("http://"+s.cluster.store.Address()+"/copy", nil)
		sleep(ctx, age)
		if away != (standin.RowStoreFaults{}) && err == nil {
			err = s.cluster.setStoreFaults(away)
			sleep(ctx, lasts)
		}
		if err == nil {
			err = postJSON("http://"+s.cluster.store.Address()+"/return", nil)
		}
		if err == nil {
			err = s.cluster.setStoreFaults(standin.RowStoreFaults{})
		}
		s.logFault("store returns from a copy", age, err)
	}
}
