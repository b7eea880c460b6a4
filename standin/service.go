package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/callkey"
)

// Service is a stand-in for a plain service whose calls have effects: it
// counts how often each key has run.
type Service struct {
	name string
	work time.Duration

	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
	total  int
}

// NewService returns a service whose calls take a time.
func NewService(name string, work time.Duration) *Service {
	return &Service{name: name, work: work, runs: make(map[string]int)}
}

// SetFaults changes the service's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each key has run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}

// Total returns how many calls have run.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Handler serves calls on every path, its switches at /faults and its counts
// at /runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", faultHandler(s.SetFaults))
	mux.Handle("GET /runs", jsonHandler(func() any { return s.Runs() }))
	mux.HandleFunc("POST /", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.runs[r.Header.Get(callkey.Header)]++
	s.total++
	s.mu.Unlock()
	time.Sleep(s.work + time.Duration(faults.SlowMS)*time.Millisecond)
	if faults.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
	}
	_, _ = w.Write(ServiceAnswer(s.name, r.URL.Path, body))
}
