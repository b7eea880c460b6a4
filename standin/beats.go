package standin

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// heartbeatInterval is how often a server renews its entry.
const heartbeatInterval = 200 * time.Millisecond

// SendHeartbeats renews a server's entry at the store until the context ends. A beat
// that fails is made up for by the next.
func SendHeartbeats(ctx context.Context, store, id string, entry func() *platformpb.Server) {
	SendHeartbeatsEvery(ctx, heartbeatInterval, store, id, entry)
}

// SendHeartbeatsEvery does so at a pace of its own.
func SendHeartbeatsEvery(ctx context.Context, every time.Duration, store, id string, entry func() *platformpb.Server) {
	client := &http.Client{Timeout: every}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if body, err := EntryBytes(entry()); err == nil {
			sendHeartbeat(ctx, client, fmt.Sprintf("http://%s/beat/%s?every=%d", store, id, every.Milliseconds()), body)
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
