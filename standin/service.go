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
	name     string
	workTime time.Duration

	mu         sync.Mutex
	faults     ServiceFaults
	executions map[string]int
	total      int
}

// NewService returns a service whose calls take a time.
func NewService(name string, work time.Duration) *Service {
	return &Service{name: name, workTime: work, executions: make(map[string]int)}
}

// SetFaults changes the service's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often each key has run.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		runs[k] = n
	}
	return runs
}

// TotalExecutions returns how many calls have run.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Handler serves calls on every path, its switches at /faults and its counts
// at /runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", jsonSetHandler(s.SetFaults))
	mux.Handle("GET /runs", jsonGetHandler(func() any { return s.Executions() }))
	mux.HandleFunc("POST /", s.handleCall)
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.executions[r.Header.Get(callkey.Header)]++
	s.total++
	s.mu.Unlock()
	time.Sleep(s.workTime + time.Duration(faults.CallDelayMS)*time.Millisecond)
	if faults.DropAfterExecution {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
	}
	_, _ = w.Write(ServiceAnswer(s.name, r.URL.Path, body))
}
