package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// burstSeed selects the random stream of the bursts, above those of the callers.
	burstSeed = 1 << 10
	// burstFactor is the number of additional senders of a caller in a burst. A caller sends a third
	// of its requests to a route, so that a burst is ten times the load of its route.
	burstFactor = 3
	// minBurst and maxFaultDuration bound the duration of a burst.
	minBurst = time.Second
	// requestsPerNode bounds the requests in a row that a sender sends to one node.
	requestsPerNode = 10
	// maxImmediateRetries bounds how often the crawler repeats a refused request at once.
	maxImmediateRetries = 4
	// soakTokens are the tokens of prompt and answer. Six engines have memory for 20 such streams:
	// more than the 12 callers send at a time, less than the 48 of a burst.
	soakTokens = "2500,30"
)

// callerKeys are the keys of the callers in turn, so that the accounts differ in size.
var callerKeys = []string{
	permanentKey, archiveKey, permanentKey, crawlerKey, permanentKey, labKey,
	permanentKey, archiveKey, permanentKey, crawlerKey, archiveKey, labKey,
}

// sender sends requests one after the other with a key. An empty route means all at random.
type sender struct{ id, key, route string }

func newSender(caller int) sender {
	return sender{id: fmt.Sprintf("c%d", caller), key: callerKeys[caller%len(callerKeys)]}
}

// newAttempt returns the first attempt of a sender's next request.
func (s sender) newAttempt(n int, random *rand.Rand) attempt {
	t := attempt{id: fmt.Sprintf("%s-%d", s.id, n), key: s.key, method: http.MethodPost}
	t.path = "/" + cmp.Or(s.route, []string{"once", "read", "write"}[random.IntN(3)]) + "/" + t.id
	if random.IntN(2) == 0 && !strings.HasPrefix(t.path, "/write/") {
		// HTTP clients retry GET requests without a body on their own.
		t.method = http.MethodGet
	}
	if random.IntN(3) == 0 && s.key == permanentKey {
		t.key = revocableKey
	}
	return t
}

// burstSeries has the callers of one route send several times as much for a while, again and again.
// Every second burst is one of streams, which may wait for capacity.
func (r *runner) burstSeries(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(random.Int64N(int64(maxFaultPause))))
		r.burst(ctx, n, []string{"write", "once", "write", "read"}[(n+2*random.IntN(2))%4], random)
	}
}

// burst runs one burst. Halfway through one of streams, it stops a node and starts it again.
func (r *runner) burst(ctx context.Context, n int, route string, random *rand.Rand) {
	duration := minBurst + time.Duration(random.Int64N(int64(maxFaultDuration-minBurst)))
	burst, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range r.Size.Callers * burstFactor {
		s := newSender(i % r.Size.Callers)
		s.id, s.route = fmt.Sprintf("%s-b%d-%d", s.id, n, i), route
		ownRandom := rand.New(rand.NewPCG(random.Uint64(), burstSeed))
		group.Go(func() { r.callers.sendUntilDone(burst, context.WithoutCancel(ctx), s, ownRandom) })
	}
	sleep(burst, duration/2)
	if node := random.IntN(len(r.cluster.nodes)); route == "write" && burst.Err() == nil {
		description, err := r.injectNodeFault(1, node, 0)
		r.logFault(description+" in a burst", 0, err)
	}
	group.Wait()
	r.logFault("burst of "+route, duration, nil)
}
