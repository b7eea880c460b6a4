package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
)

func TestPlannedStopCutsNoStreams(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithStages(testbed.Stages(2, slowEngine())...))
	stopping := bed.Nodes[0]
	testbed.AfterFunc(t, 100*time.Millisecond, func() {
		stopping.Drain()
		time.Sleep(20 * time.Millisecond)
		stopping.Drain()
	})
	results := runItems(bed, append(noticeRequests(40, 30), orderRequests(10)...))
	wantCorrect(t, results)
	for i, r := range results {
		if r.Truncated > 0 && r.Outcome.String() == "none" {
			t.Errorf("request %d: got a cut stream, want a complete one", i)
		}
	}
	select {
	case <-stopping.Done():
	case <-time.After(testTimeout):
		t.Fatal("got a node that is still running, want it stopped")
	}
	if err := stopping.Err(); err != nil {
		t.Errorf("stop node: got error %v, want none", err)
	}
}

func TestPlannedStopFinishesLongStreams(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithNodes(1), testbed.WithStages(testbed.Stages(1, slowEngine())...))
	testbed.AfterFunc(t, 150*time.Millisecond, func() { bed.Nodes[0].Drain() })
	// The number of requests equals the initial limit of a new engine, so that none of
	// them waits in a queue.
	items := noticeRequests(int(pool.DefaultLimits().Start), 60)
	for i := range items {
		items[i].ArrivalMS = 0
	}
	for i, r := range runItems(bed, items, load.WithTries(1)) {
		if !r.Correct {
			t.Errorf("request %d: got outcome %s (%s), want the complete response", i, r.Outcome, r.Reason)
		}
	}
}

// TestTicketsOfStoppedNodeRunAtSuccessor gets tickets from a node, stops that node as
// planned, and uses the tickets at the remaining node.
func TestTicketsOfStoppedNodeRunAtSuccessor(t *testing.T) {
	bed := startTestbed(t)
	client := load.NewClient()
	defer client.Close()
	stopping := bed.Nodes[0]
	tickets, err := client.Tickets(context.Background(), stopping.CallerAddress(), testbed.AccountKey("clinic"), 5)
	if err != nil || len(tickets) != 5 {
		t.Fatalf("got %d tickets (error %v), want 5", len(tickets), err)
	}
	items := orderRequests(5)
	for i := range items {
		items[i].Key = tickets[i]
	}
	wantCorrect(t, runItems(bed, items[:2]))
	stopping.Drain()
	<-stopping.Done()
	bed.Platform.SetFaults(standin.PlatformFaults{Down: true})
	wantCorrect(t, runItems(bed, items[2:]))
	again := runItems(bed, items[:1], load.WithTries(1))
	if again[0].Outcome != outcome.Unknown {
		t.Errorf("got outcome %s for a ticket used before the stop, want unknown", again[0].Outcome)
	}
	wantAtMostOneRun(t, bed)
}
