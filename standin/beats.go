package standin

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
)

// beatEvery is how often a server renews its entry.
const beatEvery = 200 * time.Millisecond

// Beat renews a server's entry at the store until the context ends. A beat
// that fails is made up for by the next.
func Beat(ctx context.Context, store, id string, entry func() *platformpb.Server) {
	BeatEvery(ctx, beatEvery, store, id, entry)
}

// BeatEvery does so at a pace of its own.
func BeatEvery(ctx context.Context, every time.Duration, store, id string, entry func() *platformpb.Server) {
	client := &http.Client{Timeout: every}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if body, err := EntryBytes(entry()); err == nil {
			beatOnce(ctx, client, fmt.Sprintf("http://%s/beat/%s?every=%d", store, id, every.Milliseconds()), body)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func beatOnce(ctx context.Context, client *http.Client, url string, body []byte) {
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
