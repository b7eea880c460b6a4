package rehearse

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/standin"
)

// clientsEach is how many clients a data centre has. Each keeps its connections, and opens new
// ones for a part of its requests.
const (
	clientsEach   = 30
	newConnection = 0.25
	// longestWait bounds what a caller waits for a connection.
	longestWait = time.Second
)

// client is a caller's program: its connections, and the node that they go to.
type client struct {
	balancer *balancer
	name     string
	centre   string
	number   uint64
	kept     *http.Transport
	fresh    *http.Transport
	renew    bool
}

// node is where a try goes: the node of its connections, or another one for a later try.
func (c *client) node(try int) *relayNode { return c.balancer.choose(c.centre, c.number+uint64(try)) }

func (c *client) transport(try int) *http.Transport {
	if try > 0 || c.renew {
		return c.fresh
	}
	return c.kept
}

// load is an open loop of callers.
type load struct {
	scenario *lab.Scenario
	balancer *balancer
	random   *rand.Rand
	scale    float64
	kept     []*http.Transport
	fresh    *http.Transport
	centres  []string
	// burst is how many times as many requests come as usual.
	burst atomic.Uint64

	mu       sync.Mutex
	requests []*Request
	// lateMS are by how much callers came later than they should have.
	lateMS []float64
}

func newLoad(s *lab.Scenario, b *balancer, o options) *load {
	l := &load{
		scenario: s, balancer: b, random: rand.New(rand.NewPCG(o.seed, 11)), scale: o.scale, centres: s.Fleet.DataCentres(),
		fresh: newTransport(true),
	}
	l.setBurst(1)
	for range len(l.centres) * clientsEach {
		l.kept = append(l.kept, newTransport(false))
	}
	return l
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: longestWait}
	return &http.Transport{DisableKeepAlives: fresh, MaxIdleConnsPerHost: clientsEach, DialContext: dialer.DialContext}
}

func (l *load) setBurst(times float64) { l.burst.Store(math.Float64bits(times)) }

// perSecond is how many requests come a second.
func (l *load) perSecond() float64 {
	return l.scenario.Deployment.RequestsPerSecond() * l.scale * math.Float64frombits(l.burst.Load())
}

// run has callers ask for a time, and returns when all have their answers.
func (l *load) run(ctx context.Context, began time.Time, lasts time.Duration) {
	var group sync.WaitGroup
	for due := began; ; {
		due = due.Add(time.Duration(l.random.ExpFloat64() / l.perSecond() * float64(time.Second)))
		if due.Sub(began) >= lasts || ctx.Err() != nil {
			break
		}
		sleep(ctx, time.Until(due))
		a := l.draw(due.Sub(began))
		a.began = time.Now()
		l.note(a.Request, a.began.Sub(due))
		group.Go(func() { a.run(ctx) })
	}
	group.Wait()
}

func (l *load) note(r *Request, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	l.lateMS = append(l.lateMS, float64(late.Microseconds())/msPerSecond)
}

// draw draws the next request.
func (l *load) draw(at time.Duration) *asker {
	kind := l.drawKind()
	centre := l.random.IntN(len(l.centres))
	number := centre*clientsEach + l.random.IntN(clientsEach)
	a := &asker{kind: kind, events: 1, prompt: 1, client: &client{
		balancer: l.balancer, name: fmt.Sprint("client-", number), centre: l.centres[centre], number: uint64(number),
		kept: l.kept[number], fresh: l.fresh, renew: l.random.Float64() < newConnection,
	}}
	if kind.Mode == lab.ModeStream {
		a.events, a.prompt = l.size(kind.Events), l.size(kind.PromptTokens)
		a.answer = a.events * l.scenario.Load.TokensPerEvent
	}
	a.Request = &Request{
		ID: fmt.Sprintf("r%d", len(l.requests)+1), Kind: kind.Name, Centre: a.client.centre, Account: l.drawAccount(),
		Subject: fmt.Sprintf("%s-%d", kind.Name, l.random.IntN(l.scenario.Deployment.Subjects)), Caller: a.client.name,
		Tokens: a.prompt, Memory: standin.StreamTokens(a.prompt, a.answer), At: at.Seconds(),
	}
	return a
}

func (l *load) drawKind() lab.RequestKind {
	kinds := l.scenario.Deployment.RequestKinds
	x := l.random.Float64() * l.scenario.Deployment.RequestsPerSecond()
	for _, k := range kinds {
		if x -= k.PerSecond; x < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

// drawAccount draws an account: each has half of what those before it leave.
func (l *load) drawAccount() int {
	last := l.scenario.Deployment.Accounts - 1
	for i := range last {
		if l.random.IntN(2) == 0 {
			return i
		}
	}
	return last
}

// Sizes spread log-normally round their mean, up to a few times as much.
const (
	sizeSpread = 0.7
	mostSize   = 2.5
)

func (l *load) size(mean int) int {
	x := float64(mean) * math.Exp(sizeSpread*l.random.NormFloat64()-sizeSpread*sizeSpread/2)
	return max(1, int(min(x, mostSize*float64(mean))))
}
