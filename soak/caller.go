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

// try is what a caller knows of one of its requests.
type try struct {
	id     string
	method string
	path   string
	key    string
	sent   time.Time
	status int
	// whole tells that the answer ended as a whole one does.
	whole bool
	body  string
	// back is when a refused caller was told to come back.
	back time.Duration
}

// patience is how long a caller waits for an answer, in ms.
const patience = 8000

// callers send requests to the nodes and write down what they get.
type callers struct {
	world *world
	mu    sync.Mutex
	tries []try
	// nodes are those that tries were sent to, by the names of the tries.
	nodes map[string]string
	// second is the key that comes and goes.
	second string
}

// run sends requests as one caller, over a connection that it keeps until it
// breaks, until the context ends.
func (c *callers) run(ctx context.Context, number int, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	node := random.IntN(len(c.world.nodes))
	for i := 0; ctx.Err() == nil; i++ {
		t := c.ask(ctx, transport, node, fmt.Sprintf("c%d-%d", number, i), random)
		c.mu.Lock()
		c.tries = append(c.tries, t)
		c.mu.Unlock()
		if t.status == 0 {
			node = random.IntN(len(c.world.nodes))
		}
		sleep(ctx, t.back+time.Duration(5+random.IntN(40))*time.Millisecond)
	}
}

func (c *callers) ask(ctx context.Context, transport http.RoundTripper, node int, id string, random *rand.Rand) try {
	t := try{id: id, key: keptKey, method: http.MethodPost, path: pathFor(id, random)}
	if random.IntN(2) == 0 && !strings.HasPrefix(t.path, "/write/") {
		// Without a body: HTTP libraries repeat such requests by themselves.
		t.method = http.MethodGet
	}
	if random.IntN(3) == 0 {
		t.key = c.second
	}
	return c.askPath(ctx, transport, node, t)
}

// askPath sends one request and writes down what comes back.
func (c *callers) askPath(ctx context.Context, transport http.RoundTripper, node int, t try) try {
	ctx, cancel := context.WithTimeout(ctx, patience*time.Millisecond)
	defer cancel()
	var body io.Reader
	if t.method == http.MethodPost {
		body = strings.NewReader("x")
	}
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+c.world.nodes[node].Address()+t.path, body)
	if err != nil {
		return t
	}
	req.GetBody = nil
	req.Host = standin.SiteHost
	req.Header = standin.ClientHeader(t.id, t.key, patience)
	c.noteNode(t.id, node)
	t.sent = time.Now()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	t.status = resp.StatusCode
	answer, err := io.ReadAll(resp.Body)
	t.body, t.whole = string(answer), err == nil
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.back = min(time.Duration(seconds*float64(time.Second)), patience*time.Millisecond)
	}
	return t
}

func (c *callers) noteNode(id string, node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes == nil {
		c.nodes = make(map[string]string)
	}
	c.nodes[id] = c.world.nodes[node].Name()
}

// nodeOf names the node that a try was sent to; empty for none.
func (c *callers) nodeOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

func pathFor(id string, random *rand.Rand) string {
	switch random.IntN(3) {
	case 0:
		return "/once/" + id
	case 1:
		return "/read/" + id
	default:
		return "/write/" + id
	}
}

// taken returns what the callers have written down.
func (c *callers) taken() []try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]try(nil), c.tries...)
}
