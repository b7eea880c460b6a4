package entry_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/record"
	"github.com/hoistjunction/hoistjunction/testbed"
	"github.com/hoistjunction/hoistjunction/wire"
)

// TestRecordingOfALiveNodeReplays reads a node's recording and plays it again:
// every caller must get what it got from the node.
func TestRecordingOfALiveNodeReplays(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithNodes(1))
	results := runItems(bed, noticeRequests(10, 6))
	wantCorrect(t, results)
	resp, err := bed.Admin(bed.Nodes[0]).Recording(context.Background(), connect.NewRequest(&wire.RecordingRequest{}))
	if err != nil || resp.Msg.GetDropped() != 0 {
		t.Fatalf("got %v and %d dropped, want a whole recording", err, resp.Msg.GetDropped())
	}
	text := resp.Msg.GetLines()
	for caller := range results {
		line, err := json.Marshal(map[string]any{"expect": map[string]any{"caller": caller + 1, "outcome": "done"}})
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, line...), '\n')
	}
	path := filepath.Join(t.TempDir(), "live.jsonl")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := record.ReplayFile(path); err != nil {
		t.Errorf("got %v, want the replay to end as the run did", err)
	}
}
