//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

// The bounds of a small deployment that the cases use.
const (
	heartbeat   = 1200 * time.Millisecond
	contact     = 3 * time.Second
	revokeBound = 5 * time.Second
	recovery    = 12 * time.Second
)

// The names of the deployment.
const (
	host       = "stalls.example"
	service    = "order-desk"
	safePath   = "/stock/"
	unsafePath = "/pickup/"
	tenant     = "market"
)

// zones are the zones of the deployment, each with the number of its nodes.
var zones = []struct {
	name  string
	nodes int
}{{"suwon-hall", 3}, {"yongin-hall", 2}, {"anyang-hall", 2}}

// bed is the surroundings of a case.
type bed struct {
	trouble bool
	began   time.Time
	temp    string

	mu     sync.Mutex
	out    *bufio.Writer
	file   *os.File
	closed bool

	store        *standin.RowStore
	storeAddress string
	servers      []*server
	nodes        []*node
	clients      sync.WaitGroup
	// runs holds the ids of the requests that servers have run.
	runs   sync.Map
	ctx    context.Context
	cancel context.CancelFunc
}

func newBed(recordPath string, trouble bool) (*bed, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: trouble, began: time.Now(), temp: temp, file: file, out: bufio.NewWriter(file), store: standin.NewRowStore()}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.storeAddress, err = b.serve("127.0.0.1", b.store.Handler())
	return b, err
}

// serve serves a handler on a free port of a loopback address until the case ends.
func (b *bed) serve(ip string, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	context.AfterFunc(b.ctx, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// record writes a line with the time since the start of the case.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	fmt.Fprintf(b.out, "%8.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// startSite starts the servers and the nodes of the deployment. reportStart makes the
// servers tell when they started ("born").
func (b *bed) startSite(reportStart bool) error {
	for _, z := range zones {
		s, err := b.startServer(z.name, reportStart)
		if err != nil {
			return err
		}
		b.servers = append(b.servers, s)
	}
	for _, z := range zones {
		for i := range z.nodes {
			n, err := b.newNode(fmt.Sprintf("front-%s-%d", z.name, i+1), z.name, fmt.Sprintf("127.0.0.%d", 11+len(b.nodes)))
			if err != nil {
				return err
			}
			b.nodes = append(b.nodes, n)
		}
	}
	for _, n := range b.nodes {
		n.start(true)
	}
	return b.awaitReady(20 * time.Second)
}

// awaitReady waits until all nodes are ready.
func (b *bed) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range b.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	b.record("all_nodes_ready")
	return nil
}

// close ends all processes and the record.
func (b *bed) close() {
	b.cancel()
	for _, n := range b.nodes {
		n.stop()
	}
	b.clients.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	_ = b.out.Flush()
	_ = b.file.Close()
	_ = os.RemoveAll(b.temp)
}
