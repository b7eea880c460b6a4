package engine

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/endless"
)

// Guards against a reply of an engine without an end that is kept until the memory is exhausted: it was kept up to
// the 4 GiB that its length may name.
func TestEndlessReply(t *testing.T) {
	const replyBytes, maxKept = 128 << 20, 2 * maxReplyBytes
	sent, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/grpc+proto")
		_, _ = w.Write([]byte("\x00\xff\xff\xff\xff"))
		text := []byte(strings.Repeat("x", 32<<10))
		for range replyBytes / len(text) {
			// The node may have closed the connection already.
			_, _ = w.Write(text)
		}
		close(sent)
		<-release
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	before := liveBytes()
	p := NewPool(1, func(core.Msg) {})
	if failed := p.Step(&core.StepCmd{Upstream: "e1", Address: server.Listener.Addr().String()}); failed != nil {
		t.Fatalf("got %#v, want the step sent", failed)
	}
	endless.Await(t, func() struct{} { return <-sent })
	if got := liveBytes() - before; got > maxKept {
		t.Errorf("got %d bytes kept of a reply, want at most %d", got, maxKept)
	}
	close(release)
	p.Close()
}

// liveBytes returns how many bytes of the heap are in use.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
