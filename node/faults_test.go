package node_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
)

// faultyService is a desk that does one thing wrong, and says how often it was asked.
type faultyService struct {
	requests atomic.Int64
	respond  func(w http.ResponseWriter, r *http.Request)
	// firstRequest is closed when it is asked for the first time.
	firstRequest chan struct{}
}

func (d *faultyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d.requests.Add(1) == 1 {
		close(d.firstRequest)
	}
	d.respond(w, r)
}

func writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = conn.Write([]byte(text))
	_ = conn.Close()
}

// What an upstream may do to an answer, and what the caller gets for a request
// that may run only once.
func TestWrongAnswers(t *testing.T) {
	tests := []struct {
		name   string
		wrong  func(w http.ResponseWriter, r *http.Request)
		status int
		asked  int64
	}{
		{"closes without an answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusBadGateway, 1},
		{"no HTTP", func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "hello\r\n\r\n") }, http.StatusBadGateway, 1},
		{"another request's answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Attempt-Id", "somebody-else")
			w.Header().Set("Response-Seal", "s")
		}, http.StatusBadGateway, 1},
		{"no seal", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id")) }, http.StatusBadGateway, 1},
		{"an answer that is cut off", func(w http.ResponseWriter, r *http.Request) {
			writeRaw(w, "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nContent-Length: 100\r\n\r\nonly some")
		}, http.StatusBadGateway, 1},
		{"a failure of its own", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Response-Seal", "s")
			w.WriteHeader(http.StatusInternalServerError)
		}, http.StatusInternalServerError, 1},
		{"an answer without a length", func(w http.ResponseWriter, r *http.Request) {
			writeRaw(w, "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nConnection: close\r\n\r\nall of it")
		}, http.StatusOK, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 0)
			desk := s.replacePlainService(tt.wrong)
			n := s.startNode("n1", s.storeAddress)
			await(t, "configuration", func() bool { return n.do(http.MethodPost, "/nowhere/a", "x", "k1").status == http.StatusNotFound })
			await(t, "upstream", func() bool {
				got := n.do(http.MethodPost, "/once/a", "o1", "k1")
				if desk.requests.Load() == 0 {
					return false
				}
				if got.status != tt.status {
					t.Errorf("got status %d, want %d", got.status, tt.status)
				}
				return true
			})
			if got := desk.requests.Load(); got != tt.asked {
				t.Errorf("got %d askings, want %d", got, tt.asked)
			}
		})
	}
}

// replacePlainService starts a desk that does one thing wrong, as the only one.
func (s *site) replacePlainService(wrong func(http.ResponseWriter, *http.Request)) *faultyService {
	s.stopPlainService()
	desk := &faultyService{respond: wrong, firstRequest: make(chan struct{})}
	server := httptest.NewServer(desk)
	s.t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	s.startHeartbeat("bad1", func() *platformpb.Server {
		return &platformpb.Server{Service: standin.SitePlainService, Address: address, Zone: "dc", State: "ready", Slots: 6}
	})
	return desk
}
