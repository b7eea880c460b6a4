package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

// lateClient sends requests one after the other on a connection from before a stop, until the node closes it.
type lateClient struct {
	conn     net.Conn
	statuses map[string]int
	// unanswered is the id of the last request, if the connection was closed without a whole answer to it.
	unanswered string
}

func (c *lateClient) run(n *testNode, path, name string) {
	reader := bufio.NewReader(c.conn)
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		status, closes, err := c.ask(n.request(http.MethodPost, path, id, "k1"), reader)
		if err != nil {
			c.unanswered = id
			return
		}
		c.statuses[id] = status
		if closes {
			return
		}
	}
}

func (c *lateClient) ask(r *http.Request, reader *bufio.Reader) (status int, closes bool, err error) {
	if err := r.Write(c.conn); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(reader, r)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

// Guards against a stopping node that takes a request late in its grace period, passes it on, and closes the
// connection at the end without an answer; above all a request that may be executed once.
func TestRequestsLateInGraceAreAnswered(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/a", "/read/a"} {
		for _, workTime := range []time.Duration{30 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(path, " ", workTime), func(t *testing.T) {
				t.Parallel()
				sendThroughGrace(t, path, workTime)
			})
		}
	}
}

// sendThroughGrace sends requests at all times of a node's grace period to a service that works on each for a
// time, and checks what becomes of them.
func sendThroughGrace(t *testing.T, path string, workTime time.Duration) {
	t.Helper()
	const clients, grace = 64, 3 * time.Second
	s := newSite(t, 2)
	s.stopPlainService()
	s.graceSeconds = grace.Seconds()
	service := s.addSlowPlainService("desk2", workTime)
	service.SetSlots(clients, clients)
	n := s.startNode("n1", s.storeAddress)
	await(t, "answer", func() bool { return n.do(http.MethodPost, path, "warm", "k1").status == http.StatusOK })
	var warm sync.WaitGroup
	for i := range clients {
		warm.Go(func() { n.do(http.MethodPost, path, fmt.Sprint("warm-", i), "k1") })
	}
	warm.Wait()
	list := make([]*lateClient, clients)
	for i := range list {
		list[i] = &lateClient{conn: n.dial(t), statuses: make(map[string]int)}
	}
	go n.Drain()
	var wg sync.WaitGroup
	for i, c := range list {
		wg.Go(func() {
			time.Sleep(grace * time.Duration(i) / clients)
			c.run(n, path, fmt.Sprint("late-", i))
		})
	}
	wg.Wait()
	checkLate(t, path, list, service.Executions())
}

// checkLate checks that no request was executed that has no answer, or one that says that it was not executed.
func checkLate(t *testing.T, path string, list []*lateClient, executions map[string]standin.ExecutionRecord) {
	t.Helper()
	counts := make(map[int]int)
	for _, c := range list {
		if executions[c.unanswered].Executions > 0 {
			t.Errorf("%s: got no answer to %s, which was executed", path, c.unanswered)
		}
		for id, status := range c.statuses {
			counts[status]++
			if status == http.StatusServiceUnavailable && executions[id].Executions > 0 {
				t.Errorf("%s: got status 503 for %s, which was executed", path, id)
			}
		}
	}
	t.Logf("%s: answers by status: %v", path, counts)
	if counts[http.StatusOK] == 0 {
		t.Errorf("%s: got answers %v, want some with status 200", path, counts)
	}
}
