package soak

import (
	"context"
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
	// crashingPart is the id of a part of the prompt that crashes engines; empty for none.
	crashingPart string
	sentAt       time.Time
	// endedAt is when the response or the wait for it ended, and err why there is no response.
	endedAt time.Time
	err     error
	status  int
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
}

// sendUntilDone sends requests as one sender until the loop context ends; the request context
// aborts a request. It keeps its node and its connection until an attempt gets no response, and for
// at most requestsPerNode requests, so that the faults of a node strike all accounts alike.
func (c *callers) sendUntilDone(loop, request context.Context, s sender, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	node := random.IntN(len(c.cluster.nodes))
	for i := 0; loop.Err() == nil; i++ {
		t := s.newAttempt(i, random)
		for retries := 0; ; retries++ {
			t = c.send(request, transport, node, t)
			t.endedAt = time.Now()
			c.mu.Lock()
			c.attempts = append(c.attempts, t)
			c.mu.Unlock()
			if s.key != crawlerKey || retries == maxImmediateRetries || loop.Err() != nil || !isRefusal(t.status) {
				break
			}
			t = attempt{id: t.id + "r", key: t.key, method: t.method, path: t.path}
		}
		if t.status == 0 || i%requestsPerNode == requestsPerNode-1 {
			node = random.IntN(len(c.cluster.nodes))
		}
		if s.key == crawlerKey {
			t.retryAfter = 0
		}
		sleep(loop, t.retryAfter+time.Duration(5+random.IntN(40))*time.Millisecond)
	}
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
	req.Header.Set("Token-Count", soakTokens)
	req.Header.Set("Prompt-Prefix", prompt(t))
	c.recordNode(t.id, node)
	t.sentAt = time.Now()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.err = err
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	t.status = resp.StatusCode
	answer, err := io.ReadAll(resp.Body)
	t.body, t.complete, t.err = string(answer), err == nil, err
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

// recorded returns a copy of the attempts so far.
func (c *callers) recorded() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
