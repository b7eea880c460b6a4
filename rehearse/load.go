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

// clientsPerDataCentre is the number of clients in each data centre. A client keeps its
// connections open, and sends the share newConnectionShare of its requests over new ones.
const (
	clientsPerDataCentre = 30
	newConnectionShare   = 0.25
	// dialTimeout bounds the time to open a connection to a node.
	dialTimeout = time.Second
)

// client is a caller's program, with its connections and the balancer that assigns them to
// nodes.
type client struct {
	balancer    *balancer
	name        string
	dataCentre  string
	number      uint64
	keepAlive   *http.Transport
	noKeepAlive *http.Transport
	reconnect   bool
}

// node returns the node for an attempt. Retries use a different number, so that they can reach
// another node.
func (c *client) node(attempt int) *relayNode {
	return c.balancer.pick(c.dataCentre, c.number+uint64(attempt))
}

func (c *client) transport(attempt int) *http.Transport {
	if attempt > 0 || c.reconnect {
		return c.noKeepAlive
	}
	return c.keepAlive
}

// loadGenerator sends requests as an open loop of callers.
type loadGenerator struct {
	scenario    *lab.Scenario
	balancer    *balancer
	random      *rand.Rand
	scale       float64
	keepAlive   []*http.Transport
	noKeepAlive *http.Transport
	dataCentres []string
	// burstFactor multiplies the request rate; it contains the bits of a float64.
	burstFactor atomic.Uint64

	mu       sync.Mutex
	requests []*Request
	// lateMS is the delay of each request behind its scheduled time, in ms.
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

func newTransport(disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DisableKeepAlives: disableKeepAlives, MaxIdleConnsPerHost: clientsPerDataCentre, DialContext: dialer.DialContext}
}

func (l *loadGenerator) setBurst(factor float64) { l.burstFactor.Store(math.Float64bits(factor)) }

// rate returns the current request rate per second.
func (l *loadGenerator) rate() float64 {
	return l.scenario.Deployment.RequestsPerSecond() * l.scale * math.Float64frombits(l.burstFactor.Load())
}

// run sends requests for a duration, and returns when all of them have ended.
func (l *loadGenerator) run(ctx context.Context, startedAt time.Time, duration time.Duration) {
	var group sync.WaitGroup
	for scheduled := startedAt; ; {
		scheduled = scheduled.Add(time.Duration(l.random.ExpFloat64() / l.rate() * float64(time.Second)))
		if scheduled.Sub(startedAt) >= duration || ctx.Err() != nil {
			break
		}
		sleep(ctx, time.Until(scheduled))
		s := l.drawRequest(scheduled.Sub(startedAt))
		s.startedAt = time.Now()
		l.record(s.Request, s.startedAt.Sub(scheduled))
		group.Go(func() { s.run(ctx) })
	}
	group.Wait()
}

func (l *loadGenerator) record(r *Request, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	l.lateMS = append(l.lateMS, float64(delay.Microseconds())/msPerSecond)
}

// drawRequest draws the next request.
func (l *loadGenerator) drawRequest(at time.Duration) *sender {
	kind := l.drawKind()
	dataCentre := l.random.IntN(len(l.dataCentres))
	number := dataCentre*clientsPerDataCentre + l.random.IntN(clientsPerDataCentre)
	s := &sender{kind: kind, wantedEvents: 1, promptTokens: 1, client: &client{
		balancer: l.balancer, name: fmt.Sprint("client-", number), dataCentre: l.dataCentres[dataCentre], number: uint64(number),
		keepAlive: l.keepAlive[number], noKeepAlive: l.noKeepAlive, reconnect: l.random.Float64() < newConnectionShare,
	}}
	if kind.Mode == lab.ModeStream {
		s.wantedEvents, s.promptTokens = l.drawSize(kind.Events), l.drawSize(kind.PromptTokens)
		s.answerTokens = s.wantedEvents * l.scenario.Load.TokensPerEvent
	}
	s.Request = &Request{
		ID: fmt.Sprintf("r%d", len(l.requests)+1), Kind: kind.Name, DataCentre: s.client.dataCentre, Account: l.drawAccount(),
		Subject: fmt.Sprintf("%s-%d", kind.Name, l.random.IntN(l.scenario.Deployment.Subjects)), Caller: s.client.name,
		Tokens: s.promptTokens, MemoryTokens: standin.StreamTokens(s.promptTokens, s.answerTokens), StartS: at.Seconds(),
	}
	return s
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

// drawAccount draws an account: each account gets half of the requests that remain after the
// accounts before it, and the last gets the rest.
func (l *loadGenerator) drawAccount() int {
	last := l.scenario.Deployment.Accounts - 1
	for i := range last {
		if l.random.IntN(2) == 0 {
			return i
		}
	}
	return last
}

// Request sizes follow a log-normal distribution with the given mean, cut off at maxSizeFactor
// times the mean.
const (
	sizeSigma     = 0.7
	maxSizeFactor = 2.5
)

func (l *loadGenerator) drawSize(mean int) int {
	x := float64(mean) * math.Exp(sizeSigma*l.random.NormFloat64()-sizeSigma*sizeSigma/2)
	return max(1, int(min(x, maxSizeFactor*float64(mean))))
}
