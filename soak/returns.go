package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// returnPart is the part of the seed of the store's returns from a copy.
	returnPart = 62
	// returnPause bounds the pause before a copy is made, longestCopy how old it gets, and
	// longestAway for how long the store is away before it comes back from it.
	returnPause = 6 * time.Second
	longestCopy = 4 * time.Second
	longestAway = 1200 * time.Millisecond
)

// returnSeries has the store come back from copies of itself, beside all other harm. What the
// operator wrote is written again at once.
func (s *soak) returnSeries(ctx context.Context, random *rand.Rand) {
	draw := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	ways := []standin.RowStoreFaults{{Down: true}, {Unresponsive: true}, {}}
	for sleep(ctx, draw(returnPause)); ctx.Err() == nil; sleep(ctx, draw(returnPause)) {
		away, lasts, age := ways[random.IntN(len(ways))], draw(longestAway), draw(longestCopy)
		err := post("http://"+s.world.store.Address()+"/copy", nil)
		sleep(ctx, age)
		if away != (standin.RowStoreFaults{}) && err == nil {
			err = s.world.storeFaults(away)
			sleep(ctx, lasts)
		}
		if err == nil {
			err = post("http://"+s.world.store.Address()+"/return", nil)
		}
		if err == nil {
			err = s.world.storeFaults(standin.RowStoreFaults{})
		}
		s.note("store returns from a copy", age, err)
	}
}
