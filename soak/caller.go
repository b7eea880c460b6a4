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

// attempt is one request that a caller sent, with the response.
type attempt struct {
	id     string
	method string
	path   string
	key    string
	sentAt time.Time
	status int
	// complete reports whether the response body was read to its end.
	complete bool
	body     string
	// retryAfter is the delay from the Retry-After header, capped at the caller's timeout; zero
	// if there is none.
	retryAfter time.Duration
}

// callerTimeoutMS bounds a request of a caller, in ms.
const callerTimeoutMS = 8000

// callers send requests to the nodes and record the responses. They are safe for concurrent
// use.
type callers struct {
	cluster  *cluster
	mu       sync.Mutex
	attempts []attempt
	// nodeByAttempt maps the id of each attempt to the name of the node that received it.
	nodeByAttempt map[string]string
	// revocableKey is the client key that the key fault revokes and restores.
	revocableKey string
}

// sendUntilDone sends requests as one caller until the context ends. It keeps its node and its connection
// until an attempt gets no response.
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
		// HTTP clients retry GET requests without a body on their own.
		t.method = http.MethodGet
	}
	if random.IntN(3) == 0 {
		t.key = c.revocableKey
	}
	return c.send(ctx, transport, node, t)
}

// send sends one request and returns the attempt with its response.
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

// nodeOf returns the name of the node that an attempt was sent to; empty if the attempt is
// unknown.
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

// recorded returns a copy of the attempts so far.
func (c *callers) recorded() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
