package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/callkey"
)

// Service is a stand-in for a plain service whose calls have side effects. It
// counts the executions by call key.
type Service struct {
	name     string
	workTime time.Duration

	mu         sync.Mutex
	faults     ServiceFaults
	executions map[string]int
	total      int
}

// NewService returns a service that works on each call for the given time.
func NewService(name string, workTime time.Duration) *Service {
	return &Service{name: name, workTime: workTime, executions: make(map[string]int)}
}

// SetFaults replaces the service's injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns the number of executions by call key.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		executions[k] = n
	}
	return executions
}

// TotalExecutions returns the number of executions of all calls.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Handler returns the HTTP handler of calls on any path, of fault injection at
// /faults and of the execution counts at /runs.
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
