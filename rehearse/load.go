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

// clientsPerDataCentre is how many clients a data centre has. Each keeps its connections, and opens new
// ones for a part of its requests.
const (
	clientsPerDataCentre = 30
	newConnectionShare   = 0.25
	// dialTimeout bounds what a caller waits for a connection.
	dialTimeout = time.Second
)

// client is a caller's program: its connections, and the node that they go to.
type client struct {
	balancer    *balancer
	name        string
	dataCentre  string
	number      uint64
	keepAlive   *http.Transport
	noKeepAlive *http.Transport
	reconnect   bool
}

// node is where a try goes: the node of its connections, or another one for a later try.
func (c *client) node(try int) *relayNode { return c.balancer.pick(c.dataCentre, c.number+uint64(try)) }

func (c *client) transport(try int) *http.Transport {
	if try > 0 || c.reconnect {
		return c.noKeepAlive
	}
	return c.keepAlive
}

// loadGenerator is an open loop of callers.
type loadGenerator struct {
	scenario    *lab.Scenario
	balancer    *balancer
	random      *rand.Rand
	scale       float64
	keepAlive   []*http.Transport
	noKeepAlive *http.Transport
	dataCentres []string
	// burstFactor is how many times as many requests come as usual.
	burstFactor atomic.Uint64

	mu       sync.Mutex
	requests []*Request
	// lateMS are by how much callers came later than they should have.
	lateMS []float64
}

func newLoadGenerator(s *lab.Scenario, b *balancer, o options) *loadGenerator {
	l := &loadGenerator{
		scenario: s, balancer: b, random: rand.New(rand.NewPCG(o.seed, 11)), scale: o.scale, dataCentres: s.Fleet.DataCentres(),
		noKeepAlive: newTransport(true),
	}
	l.setBurst(1)
	for range len(l.dataCentres) * clientsPerDataCentre {
		l.keepAlive = append(l.keepAlive, newTransport(false))
	}
	return l
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DisableKeepAlives: fresh, MaxIdleConnsPerHost: clientsPerDataCentre, DialContext: dialer.DialContext}
}

func (l *loadGenerator) setBurst(times float64) { l.burstFactor.Store(math.Float64bits(times)) }

// rate is how many requests come a second.
func (l *loadGenerator) rate() float64 {
	return l.scenario.Deployment.RequestsPerSecond() * l.scale * math.Float64frombits(l.burstFactor.Load())
}

// run has callers ask for a time, and returns when all have their answers.
func (l *loadGenerator) run(ctx context.Context, began time.Time, lasts time.Duration) {
	var group sync.WaitGroup
	for due := began; ; {
		due = due.Add(time.Duration(l.random.ExpFloat64() / l.rate() * float64(time.Second)))
		if due.Sub(began) >= lasts || ctx.Err() != nil {
			break
		}
		sleep(ctx, time.Until(due))
		a := l.drawRequest(due.Sub(began))
		a.startedAt = time.Now()
		l.record(a.Request, a.startedAt.Sub(due))
		group.Go(func() { a.run(ctx) })
	}
	group.Wait()
}

func (l *loadGenerator) record(r *Request, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	l.lateMS = append(l.lateMS, float64(late.Microseconds())/msPerSecond)
}

// drawRequest draws the next request.
func (l *loadGenerator) drawRequest(at time.Duration) *sender {
	kind := l.drawKind()
	centre := l.random.IntN(len(l.dataCentres))
	number := centre*clientsPerDataCentre + l.random.IntN(clientsPerDataCentre)
	a := &sender{kind: kind, wantedEvents: 1, promptTokens: 1, client: &client{
		balancer: l.balancer, name: fmt.Sprint("client-", number), dataCentre: l.dataCentres[centre], number: uint64(number),
		keepAlive: l.keepAlive[number], noKeepAlive: l.noKeepAlive, reconnect: l.random.Float64() < newConnectionShare,
	}}
	if kind.Mode == lab.ModeStream {
		a.wantedEvents, a.promptTokens = l.drawSize(kind.Events), l.drawSize(kind.PromptTokens)
		a.answerTokens = a.wantedEvents * l.scenario.Load.TokensPerEvent
	}
	a.Request = &Request{
		ID: fmt.Sprintf("r%d", len(l.requests)+1), Kind: kind.Name, DataCentre: a.client.dataCentre, Account: l.drawAccount(),
		Subject: fmt.Sprintf("%s-%d", kind.Name, l.random.IntN(l.scenario.Deployment.Subjects)), Caller: a.client.name,
		Tokens: a.promptTokens, MemoryTokens: standin.StreamTokens(a.promptTokens, a.answerTokens), StartS: at.Seconds(),
	}
	return a
}

func (l *loadGenerator) drawKind() lab.RequestKind {
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
func (l *loadGenerator) drawAccount() int {
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
	sizeSigma     = 0.7
	maxSizeFactor = 2.5
)

func (l *loadGenerator) drawSize(mean int) int {
	x := float64(mean) * math.Exp(sizeSigma*l.random.NormFloat64()-sizeSigma*sizeSigma/2)
	return max(1, int(min(x, maxSizeFactor*float64(mean))))
}
