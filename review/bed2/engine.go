//go:build review2

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
)

// serveEngine serves the project's stand-in of an engine. Streams at paths with "/long/" take longer:
// they have 77 events, 60 ms apart.
func serveEngine(args []string) error {
	s := &server{events: 77, pause: 60 * time.Millisecond}
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	flags.StringVar(&s.id, "id", "", "id")
	store := flags.String("store", "", "address of the store")
	if err := flags.Parse(args); err != nil {
		return err
	}
	address, err := freeAddress("tcp")
	if err != nil {
		return err
	}
	engine := standin.NewChainEngine(s.id, address, standin.WithExecutionHandler(func(id string) { fmt.Printf("runs %s\n", id) }))
	entry := func() *platformpb.Server {
		e := engine.Entry("suwon-hall")
		e.Service = "huvo11a"
		return e
	}
	go standin.SendHeartbeats(context.Background(), *store, s.id, entry)
	f := &fullEngine{chain: engine.Handler(), long: s}
	return standin.Serve(address, f, os.Stdout)
}

// fullEngine is an engine whose memory can be taken for a while by requests of other callers. It then
// turns new requests away and reports no free memory.
type fullEngine struct {
	chain http.Handler
	long  *server
	until atomic.Int64
}

// ServeHTTP implements http.Handler. The time for which the memory is taken is set at /taken.
func (f *fullEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	full := time.Now().UnixMilli() < f.until.Load()
	switch {
	case r.URL.Path == "/taken":
		ms, _ := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
		f.until.Store(time.Now().UnixMilli() + ms)
	case r.URL.Path == "/report" && full:
		recorder := httptest.NewRecorder()
		f.chain.ServeHTTP(recorder, r)
		var report map[string]any
		_ = json.Unmarshal(recorder.Body.Bytes(), &report)
		report["kvUsed"] = report["kvTotal"]
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	case strings.Contains(r.URL.Path, "/long/"):
		f.long.ServeHTTP(w, r)
	case strings.Contains(r.URL.Path, "/once/") && full:
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		f.chain.ServeHTTP(w, r)
	}
}
