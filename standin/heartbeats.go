package standin

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// heartbeatInterval is the default interval of a server's heartbeats.
const heartbeatInterval = 200 * time.Millisecond

// SendHeartbeats sends a server's entry to the store at the default interval
// until ctx is cancelled. A failed heartbeat is not repeated before the next one.
func SendHeartbeats(ctx context.Context, store, id string, entry func() *platformpb.Server) {
	SendHeartbeatsEvery(ctx, heartbeatInterval, store, id, entry)
}

// SendHeartbeatsEvery is like SendHeartbeats with the given interval.
func SendHeartbeatsEvery(ctx context.Context, interval time.Duration, store, id string, entry func() *platformpb.Server) {
	client := &http.Client{Timeout: interval}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if body, err := EntryBytes(entry()); err == nil {
			sendHeartbeat(ctx, client, fmt.Sprintf("http://%s/beat/%s?every=%d", store, id, interval.Milliseconds()), body)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func sendHeartbeat(ctx context.Context, client *http.Client, url string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}
