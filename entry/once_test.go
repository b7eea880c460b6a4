package entry_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
)

// wantOutcomesMatchRuns checks that a key with the outcome done was executed once, and
// a key with the outcome not_run was not executed.
func wantOutcomesMatchRuns(t *testing.T, bed *testbed.Bed, results []load.Result) {
	t.Helper()
	runs := make(map[string]int)
	for _, s := range bed.Services {
		for key, n := range s.Executions() {
			runs[key] += n
		}
	}
	for _, r := range results {
		n := runs[r.Item.Key]
		if n > 1 {
			t.Errorf("key %s: got %d executions, want at most 1", r.Item.Key, n)
		}
		if r.Outcome == outcome.Done && (n != 1 || !r.Correct) {
			t.Errorf("key %s: got outcome done after %d executions, want a correct response after 1", r.Item.Key, n)
		}
		if r.Outcome == outcome.NotExecuted && n != 0 {
			t.Errorf("key %s: got outcome not_run after %d executions, want 0", r.Item.Key, n)
		}
	}
}

func TestKeysRunAtMostOnceWhenANodeIsKilled(t *testing.T) {
	bed := startTestbed(t, testbed.WithNodes(3), testbed.WithServices(2, 10*time.Millisecond))
	items := orderRequests(150)
	addresses := bed.Addresses()
	testbed.AfterFunc(t, 200*time.Millisecond, func() { bed.Nodes[1].Kill() })
	results := runItems(bed, items, load.WithTries(6))
	wantOutcomesMatchRuns(t, bed, results)
	done := load.Summarize(results).Done()
	if len(addresses) != 3 || done < len(items)/2 {
		t.Errorf("got %d of %d keys done, want at least half", done, len(items))
	}
}

func TestSameKeySentToBothNodesConcurrently(t *testing.T) {
	bed := startTestbed(t, testbed.WithServices(1, 20*time.Millisecond))
	client := load.NewClient()
	defer client.Close()
	var wg sync.WaitGroup
	for _, item := range orderRequests(20) {
		for _, node := range bed.Addresses() {
			wg.Go(func() {
				response, err := client.Send(context.Background(), node, testbed.AccountKey("clinic"), item, 2)
				if err != nil || response.Outcome != outcome.Done {
					t.Errorf("key %s: got outcome %s (error %v), want done at both nodes", item.Key, response.Outcome, err)
				}
			})
		}
	}
	wg.Wait()
	wantAtMostOneRun(t, bed)
	if got := bed.Services[0].TotalExecutions(); got != 20 {
		t.Errorf("got %d executions, want 20", got)
	}
}

func TestStoreOutageRejectsKeysButNotTickets(t *testing.T) {
	bed := startTestbed(t)
	bed.Platform.SetFaults(standin.PlatformFaults{Down: true})
	tickets := orderRequests(10)
	for i := range tickets {
		tickets[i].Key, tickets[i].Ticket = "", true
	}
	wantCorrect(t, runItems(bed, tickets))
	before := bed.Services[0].TotalExecutions()
	refused := runItems(bed, orderRequests(10), load.WithTries(1))
	for _, r := range refused {
		if r.Outcome != outcome.NotExecuted || r.Reason != "store_down" {
			t.Errorf("key %s: got outcome %s (%s), want not_run (store_down)", r.Item.Key, r.Outcome, r.Reason)
		}
	}
	if got := bed.Services[0].TotalExecutions(); got != before {
		t.Errorf("got %d executions during the outage, want 0", got-before)
	}
	bed.Platform.SetFaults(standin.PlatformFaults{})
	wantCorrect(t, runItems(bed, orderRequests(10)))
	wantAtMostOneRun(t, bed)
}

func TestLostStoreResponsesAreReadBack(t *testing.T) {
	bed := startTestbed(t)
	bed.Platform.SetFaults(standin.PlatformFaults{LoseResponses: true})
	testbed.AfterFunc(t, 400*time.Millisecond, func() { bed.Platform.SetFaults(standin.PlatformFaults{}) })
	results := runItems(bed, orderRequests(40))
	wantCorrect(t, results)
	wantOutcomesMatchRuns(t, bed, results)
}

func TestCallCutAfterExecutionIsNotRepeated(t *testing.T) {
	bed := startTestbed(t)
	bed.Services[0].SetFaults(standin.ServiceFaults{DropAfterExecution: true})
	results := runItems(bed, orderRequests(10), load.WithTries(3))
	for _, r := range results {
		if r.Outcome != outcome.Unknown {
			t.Errorf("key %s: got outcome %s, want unknown", r.Item.Key, r.Outcome)
		}
	}
	wantAtMostOneRun(t, bed)
	if got := bed.Services[0].TotalExecutions(); got != 10 {
		t.Errorf("got %d executions, want 10", got)
	}
}
