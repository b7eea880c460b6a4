//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// server is a server of the plain service. It writes its entry to the store with each
// heartbeat.
type server struct {
	bed     *bed
	id      string
	zone    string
	address string
	born    int64
	beats   atomic.Int64
	// failing makes the server answer requests that it has run with 503 and without
	// Not-Executed.
	failing atomic.Bool
}

// workTime is the time that a server takes for a request.
const workTime = 15 * time.Millisecond

func (b *bed) startServer(zone string, reportStart bool) (*server, error) {
	s := &server{bed: b, id: "i-" + strconv.FormatInt(time.Now().UnixNano(), 36), zone: zone}
	if reportStart {
		s.born = time.Now().UnixMilli()
	}
	var err error
	if s.address, err = b.serve("127.0.0.1", s); err != nil {
		return nil, err
	}
	s.writeEntry()
	go func() {
		for b.ctx.Err() == nil {
			time.Sleep(heartbeat)
			s.beats.Add(1)
			// The store takes an entry as changed when more than sequence differs.
			if len(b.store.Value("servers", s.id)) == 0 {
				s.writeEntry()
			}
		}
	}()
	return s, nil
}

// entry is what a server writes of itself, with the fields of the pages.
type entry struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"coldLeftMs"`
	Sequence   int64  `json:"sequence"`
	Born       int64  `json:"born,omitempty"`
}

func (s *server) writeEntry() {
	raw, err := json.Marshal(entry{Service: service, Address: s.address, Zone: s.zone, Version: "v1", Slots: 6, State: "ready", Sequence: s.beats.Load(), Born: s.born})
	if err != nil {
		panic(err)
	}
	s.bed.store.Put("servers", s.id, raw)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	case r.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{}")
		return
	}
	id := r.Header.Get("Attempt-Id")
	s.bed.runs.Store(id, true)
	s.bed.record("run id=%s path=%s tenant=%s server=%s", id, r.URL.Path, r.Header.Get("Tenant-Id"), s.id)
	time.Sleep(workTime)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	if s.failing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, answerBody(r.URL.Path, len(body)))
}

func answerBody(path string, size int) string {
	return fmt.Sprintf("done %s %d\n", strings.TrimSuffix(path, "/"), size)
}
