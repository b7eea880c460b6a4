package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// cutAt is the number of events after which an unframedEngine ends its first stream.
const cutAt = 10

// unframedEngine is the first engine of a chain. Its streams have neither a length nor chunks and end with
// their connection, the first of them after cutAt events and a call of beforeCut.
type unframedEngine struct {
	streamEngine
	beforeCut func()

	runsMu sync.Mutex
	runs   int
}

func (e *unframedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" || r.URL.Path == "/order" {
		e.streamEngine.ServeHTTP(w, r)
		return
	}
	e.runsMu.Lock()
	e.runs++
	cut := e.runs == 1 && e.beforeCut != nil
	e.runsMu.Unlock()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n", r.Header.Get("Attempt-Id"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		if cut && n > cutAt {
			e.beforeCut()
			return
		}
		time.Sleep(eventInterval)
		_, _ = buffered.WriteString(eventText(n))
		if err := buffered.Flush(); err != nil {
			return
		}
	}
}

// startMortal starts a handler as an engine and returns the function that ends its process.
func (s *blackholeSite) startMortal(id string, held fleet.LayerRange, handler http.Handler) (end func()) {
	server := &http.Server{Handler: handler}
	s.startServer(id, held, server)
	return func() { _ = server.Close() }
}

// Guards against a stream through several engines that ends as complete between two events after one of
// them has ended: the first engine closes the connection when its own process ends, and also when it has
// lost a later engine of the chain.
func TestEndOfStreamWithEndOfEngine(t *testing.T) {
	for _, ended := range []string{"none", "first", "later"} {
		t.Run(ended, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBlackholeSite(t, 0)
				first := &unframedEngine{}
				endFirst := s.startMortal("e1", fleet.LayerRange{From: 0, To: 6}, first)
				endLater := s.startMortal("e2", fleet.LayerRange{From: 6, To: 12}, &streamEngine{})
				end := map[string]func(){"first": endFirst, "later": endLater}[ended]
				if end != nil {
					first.beforeCut = func() {
						s.startEngine("e3", fleet.LayerRange{From: 0, To: 6})
						s.startEngine("e4", fleet.LayerRange{From: 6, To: 12})
						end()
					}
				}
				(<-s.stream("one")).check(t)
			})
		})
	}
}
