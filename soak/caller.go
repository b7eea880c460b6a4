package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

// attempt is what a caller knows of one of its requests.
type attempt struct {
	id     string
	method string
	path   string
	key    string
	sentAt time.Time
	status int
	// complete tells that the answer ended as a whole one does.
	complete bool
	body     string
	// retryAfter is when a refused caller was told to come back.
	retryAfter time.Duration
}

// callerTimeoutMS is how long a caller waits for an answer, in ms.
const callerTimeoutMS = 8000

// callers send requests to the nodes and write down what they get.
type callers struct {
	cluster  *cluster
	mu       sync.Mutex
	attempts []attempt
	// nodeByAttempt are those that tries were sent to, by the names of the tries.
	nodeByAttempt map[string]string
	// revocableKey is the key that comes and goes.
	revocableKey string
}

// sendUntilDone sends requests as one caller, over a connection that it keeps until it
// breaks, until the context ends.
func (c *callers) sendUntilDone(ctx context.Context, number int, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	node := random.IntN(len(c.cluster.nodes))
	for i := 0; ctx.Err() == nil; i++ {
		t := c.sendRandom(ctx, transport, node, fmt.Sprintf("c%d-%d", number, i), random)
		c.mu.Lock()
		c.attempts = append(c.attempts, t)
		c.mu.Unlock()
		if t.status == 0 {
			node = random.IntN(len(c.cluster.nodes))
		}
		sleep(ctx, t.retryAfter+time.Duration(5+random.IntN(40))*time.Millisecond)
	}
}

func (c *callers) sendRandom(ctx context.Context, transport http.RoundTripper, node int, id string, random *rand.Rand) attempt {
	t := attempt{id: id, key: permanentKey, method: http.MethodPost, path: randomPath(id, random)}
	if random.IntN(2) == 0 && !strings.HasPrefix(t.path, "/write/") {
		// Without a body: HTTP libraries repeat such requests by themselves.
		t.method = http.MethodGet
	}
	if random.IntN(3) == 0 {
		t.key = c.revocableKey
	}
	return c.send(ctx, transport, node, t)
}

// send sends one request and writes down what comes back.
func (c *callers) send(ctx context.Context, transport http.RoundTripper, node int, t attempt) attempt {
	ctx, cancel := context.WithTimeout(ctx, callerTimeoutMS*time.Millisecond)
	defer cancel()
	var body io.Reader
	if t.method == http.MethodPost {
		body = strings.NewReader("x")
	}
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+c.cluster.nodes[node].Address()+t.path, body)
	if err != nil {
		return t
	}
	req.GetBody = nil
	req.Host = standin.SiteHost
	req.Header = standin.ClientHeader(t.id, t.key, callerTimeoutMS)
	c.recordNode(t.id, node)
	t.sentAt = time.Now()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	t.status = resp.StatusCode
	answer, err := io.ReadAll(resp.Body)
	t.body, t.complete = string(answer), err == nil
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.retryAfter = min(time.Duration(seconds*float64(time.Second)), callerTimeoutMS*time.Millisecond)
	}
	return t
}

func (c *callers) recordNode(id string, node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodeByAttempt == nil {
		c.nodeByAttempt = make(map[string]string)
	}
	c.nodeByAttempt[id] = c.cluster.nodes[node].Name()
}

// nodeOf names the node that a try was sent to; empty for none.
func (c *callers) nodeOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodeByAttempt[id]
}

func randomPath(id string, random *rand.Rand) string {
	switch random.IntN(3) {
	case 0:
		return "/once/" + id
	case 1:
		return "/read/" + id
	default:
		return "/write/" + id
	}
}

// recorded returns what the callers have written down.
func (c *callers) recorded() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
