package proof

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// cluster is a set of stand-ins in the test process and entry nodes in child processes.
type cluster struct {
	bed   *testbed.Bed
	nodes []*process
}

func startCluster(t testing.TB, nodes int) *cluster {
	t.Helper()
	bed, err := testbed.Start(testbed.WithNodes(0), testbed.WithServices(1, 5*time.Millisecond))
	if err != nil {
		t.Fatalf("got %v, want stand-ins started", err)
	}
	t.Cleanup(bed.Close)
	c := &cluster{bed: bed}
	sum := sha256.Sum256([]byte(testbed.OperatorToken))
	for i := range nodes {
		c.nodes = append(c.nodes, startProcess(t, fmt.Sprintf(
			"[node]\nname = entry-%d\ndata_centre = dc-%d\ngrace_ms = 100\n[peer]\nsecret = s\n[platform]\naddress = %s\n[operators]\ntester = %s\n",
			i, i, bed.PlatformAddress(), hex.EncodeToString(sum[:]))))
	}
	c.configure(t)
	return c
}

func (c *cluster) configure(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	admin := wireconnect.NewAdminClient(&http.Client{Transport: testbed.OperatorTransport{}}, "http://"+c.nodes[0].admin)
	_, err := admin.Propose(ctx, connect.NewRequest(&wire.ProposeRequest{ChangeId: "first", Changes: testbed.Changes()}))
	if err != nil {
		t.Fatalf("got %v, want the configuration accepted", err)
	}
	for _, n := range c.nodes {
		c.awaitReady(ctx, t, n)
	}
}

func (c *cluster) awaitReady(ctx context.Context, t testing.TB, n *process) {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.caller+"/ready", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatalf("got %v, want a node that becomes ready", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sendCalls sends calls with idempotency keys to all nodes. An attempt that times out is
// retried with the same key at the next node.
func (c *cluster) sendCalls(from, n int) []load.Result {
	var addresses []string
	for _, p := range c.nodes {
		addresses = append(addresses, p.caller)
	}
	var items []load.Item
	for i := range n {
		items = append(items, load.Item{
			ArrivalMS: int64(i * 10), Account: "clinic", Route: "orders", Service: "order-desk", Path: "/send-sms",
			Body: fmt.Sprintf(`{"notice":%d}`, from+i), Key: fmt.Sprintf("notice-%d", from+i),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := load.NewRunner(addresses, load.WithKeys(map[string]string{"clinic": testbed.AccountKey("clinic")}),
		load.WithTries(10), load.WithAttemptTimeout(700*time.Millisecond))
	return r.Run(ctx, items)
}

// checkExecutions compares the outcomes that callers received with the executions at the service.
func (c *cluster) checkExecutions(t testing.TB, results []load.Result) {
	t.Helper()
	runs := c.bed.Services[0].Executions()
	for key, n := range runs {
		if n > 1 {
			t.Errorf("key %s: got %d executions, want at most 1", key, n)
		}
	}
	for _, r := range results {
		if r.Outcome == outcome.Done && runs[r.Item.Key] != 1 {
			t.Errorf("key %s: got %d executions and outcome \"done\", want 1", r.Item.Key, runs[r.Item.Key])
		}
		if r.Outcome == outcome.NotExecuted && runs[r.Item.Key] != 0 {
			t.Errorf("key %s: got %d executions and outcome \"not executed\", want 0", r.Item.Key, runs[r.Item.Key])
		}
	}
}

func sendSignal(t testing.TB, p *process, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Errorf("got %v, want signal %v delivered", err, s)
	}
}

// TestResumedNodeExecutesNothingTwice guards against a second execution by a node that was
// frozen under load for longer than any timer that concerns keys. After it resumes, requests
// that it still holds may be executed, but none twice.
func TestResumedNodeExecutesNothingTwice(t *testing.T) {
	c := startCluster(t, 3)
	testbed.AfterFunc(t, 300*time.Millisecond, func() {
		sendSignal(t, c.nodes[1], syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		sendSignal(t, c.nodes[1], syscall.SIGCONT)
	})
	results := c.sendCalls(0, 200)
	time.Sleep(3 * time.Second)
	results = append(results, c.sendCalls(200, 50)...)
	c.checkExecutions(t, results)
	if done := load.Summarize(results[200:]).Done(); done != 50 {
		t.Errorf("got %d of 50 done after the node resumed, want all", done)
	}
}

// TestNodeKilledDuringStoreOutage guards against double execution if a node is killed while
// responses of the store are lost.
func TestNodeKilledDuringStoreOutage(t *testing.T) {
	c := startCluster(t, 3)
	testbed.AfterFunc(t, 200*time.Millisecond, func() {
		c.bed.Platform.SetFaults(standin.PlatformFaults{LoseResponses: true})
		sendSignal(t, c.nodes[0], syscall.SIGKILL)
		time.Sleep(600 * time.Millisecond)
		c.bed.Platform.SetFaults(standin.PlatformFaults{})
	})
	c.checkExecutions(t, c.sendCalls(0, 200))
}
