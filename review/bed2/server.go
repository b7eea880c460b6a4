//go:build review2

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
)

// serveStore serves the project's stand-in of the store with the configuration in a file.
func serveStore(path string) error {
	config, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	store := standin.NewRowStore()
	store.Put("op", "config", config)
	mux := http.NewServeMux()
	mux.Handle("/", store.Handler())
	mux.HandleFunc("POST /drill/copy", func(http.ResponseWriter, *http.Request) { store.Backup() })
	mux.HandleFunc("POST /drill/return", func(http.ResponseWriter, *http.Request) { store.Restore() })
	mux.HandleFunc("POST /operator", func(w http.ResponseWriter, r *http.Request) {
		config, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		store.Put("op", "config", config)
	})
	return standin.Serve("127.0.0.1:0", mux, os.Stdout)
}

// server is a sound server of a service that answers with streams of events.
type server struct {
	id, service, zone string
	address           string
	born              float64
	events            int
	pause             time.Duration
	// Of each unframedEvery answers, the one in the middle has neither a length nor chunks; none if zero.
	unframedEvery int64
	answers       atomic.Int64
}

// serveServer serves streams until the process ends.
func serveServer(args []string) error {
	s := &server{born: float64(time.Now().UnixMilli())}
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	flags.StringVar(&s.id, "id", "", "id")
	flags.StringVar(&s.service, "service", "huvo11a", "service")
	flags.StringVar(&s.zone, "zone", "suwon-hall", "zone")
	flags.IntVar(&s.events, "events", 77, "events of a stream")
	flags.DurationVar(&s.pause, "pause", 20*time.Millisecond, "pause between two events")
	flags.Int64Var(&s.unframedEvery, "unframed-every", 0, "one of so many answers has neither a length nor chunks")
	store := flags.String("store", "", "address of the store")
	if err := flags.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	const heartbeat = 1200 * time.Millisecond
	go standin.SendHeartbeatsEvery(context.Background(), heartbeat, *store, s.id, s.entry)
	fmt.Printf("listening %s\n", s.address)
	return (&http.Server{Handler: s, ReadHeaderTimeout: startWait}).Serve(l)
}

// entry is what the server writes to the list of servers.
func (s *server) entry() *platformpb.Server {
	return &platformpb.Server{
		Service: s.service, Address: s.address, Zone: s.zone, Software: "v1", Slots: 192, State: "ready", Born: &s.born,
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "dual", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0, "born": s.born})
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	fmt.Printf("runs %s\n", r.Header.Get("Attempt-Id"))
	if n := s.answers.Add(1); s.unframedEvery > 0 && n%s.unframedEvery == s.unframedEvery/2 {
		fmt.Printf("unframed %s\n", r.Header.Get("Attempt-Id"))
		s.streamUnframed(w, r)
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", s.seal(r))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	s.stream(r, func(event string) error {
		if _, err := io.WriteString(w, event); err != nil {
			return err
		}
		return control.Flush()
	})
}

func (s *server) seal(r *http.Request) string { return s.id + "." + r.Header.Get("Attempt-Id") }

// streamUnframed answers with a stream that has neither a length nor chunks and ends with its
// connection.
func (s *server) streamUnframed(w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	writer := bufio.NewWriter(conn)
	_ = buffered.Flush()
	_, _ = fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		r.Header.Get("Attempt-Id"), s.seal(r))
	s.stream(r, func(event string) error {
		if _, err := writer.WriteString(event); err != nil {
			return err
		}
		return writer.Flush()
	})
}

// stream writes the events of a stream, after Last-Event-Id if it is resumed. It writes each event
// at once.
func (s *server) stream(r *http.Request, write func(event string) error) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= s.events; n++ {
		time.Sleep(s.pause)
		if r.Context().Err() != nil || write(eventText(r.URL.Path, n)) != nil {
			return
		}
	}
}

// eventText returns an event of the stream at a path.
func eventText(path string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, path, n) }
