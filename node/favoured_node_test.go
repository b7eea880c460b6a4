package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a node that serves less of what it reads once it gets most of the new connections: its
// parts of the retry budget, of limits and of engines are those of an even spread. For some seconds a
// balancer may hand most connections to one node, and to the next one once that node is stopped.

const (
	favouredShare = 0.9
	// favouredCalm is how long connections are spread evenly, and favouredTime how long each of two
	// nodes gets most of them.
	favouredCalm = 3 * time.Second
	favouredTime = 5 * time.Second
	// favouredGrace is how long after the change the share served may be lower, and minFavouredShare
	// the part of the share served before that must be served then. The users chose these values.
	favouredGrace    = 3 * time.Second
	minFavouredShare = 0.75
	evenInterval     = 40 * time.Millisecond
	favouredInterval = 15 * time.Millisecond
)

// favouredLoad sends requests on new connections and records which of the first attempts are served.
type favouredLoad struct {
	random  *rand.Rand
	sending sync.WaitGroup
	mu      sync.Mutex
	done    firstAttempts
}

// run sends requests for a time, most of them to one of the nodes if favoured is not nil.
func (l *favouredLoad) run(name string, nodes []*testNode, favoured *testNode, during, interval time.Duration) {
	for i, until := 0, time.Now().Add(during); time.Now().Before(until); i++ {
		n := nodes[l.random.IntN(len(nodes))]
		if favoured != nil && l.random.Float64() < favouredShare {
			n = favoured
		}
		id, kind := fmt.Sprintf("%s-%d", name, i), l.random.IntN(3)
		l.sending.Add(1)
		go func() {
			defer l.sending.Done()
			l.send(n, id, kind)
		}()
		time.Sleep(interval)
	}
}

func (l *favouredLoad) send(n *testNode, id string, kind int) {
	method, path := http.MethodPost, "/write/"+id
	switch kind {
	case 1:
		path = "/once/" + id
	case 2:
		method, path = http.MethodGet, "/read/"+id
	}
	sentAt := time.Now()
	got := n.do(method, path, id, "k1")
	if got.status == 0 {
		// The node has not read the request, so that the caller tries another one.
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, firstAttempt{sentAt: sentAt, served: got.status == http.StatusOK && got.err == nil})
}

func TestFavouredNodeServesWhatItReads(t *testing.T) {
	s := newSite(t, 4)
	s.leavesUnread = true
	for i := range 3 {
		s.addPlainService(fmt.Sprintf("desk%d", i+2))
	}
	nodes := s.startNodes(4)
	awaitDiscovery(t, nodes)
	for _, n := range nodes {
		n.awaitServing(t)
	}
	l := &favouredLoad{random: rand.New(rand.NewPCG(1, 1))}
	start := time.Now()
	l.run("even", nodes, nil, favouredCalm, evenInterval)
	first := time.Now()
	l.run("first", nodes, nodes[0], favouredTime, favouredInterval)
	second := time.Now()
	// The favoured node stops, and the next one is favoured.
	nodes[0].stop()
	rest := nodes[1:]
	l.run("second", rest, rest[0], favouredTime, favouredInterval)
	end := time.Now()
	l.sending.Wait()
	before, _ := l.done.served(start, first)
	for name, period := range map[string][2]time.Time{"first": {first.Add(favouredGrace), second}, "second": {second.Add(favouredGrace), end}} {
		share, sent := l.done.served(period[0], period[1])
		t.Logf("%s node: %.3f of %d served, %.3f before", name, share, sent, before)
		if want := minFavouredShare * before; share < want {
			t.Errorf("%s node: got %.3f served at the first attempt, want at least %.3f", name, share, want)
		}
	}
}
