package node_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/node"
)

// writeDelay is how long an answer is held back, by the node's clock, which does not pass it meanwhile. It
// exceeds the interval in which a stopping node looks at what is in progress.
const writeDelay = 100 * time.Millisecond

// slowVM is a VM whose clocks stop when writeDelay has passed since an answer is held back, so that the
// speed of the test's machine matters to no limit of the node.
type slowVM struct {
	mu sync.Mutex
	// base runs without stops, and stopped is the time for which the clocks have been stopped.
	base    *clocktest.VM
	stopped time.Duration
	// until is when the clocks stop; zero while no answer is held back.
	until time.Duration
}

// Steady implements clock.VM.
func (v *slowVM) Steady() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.steady()
}

func (v *slowVM) steady() time.Duration {
	now := v.base.Steady() - v.stopped
	if v.until > 0 {
		now = min(now, v.until)
	}
	return now
}

// Elapsed implements clock.VM.
func (v *slowVM) Elapsed() time.Duration { return v.Steady() + v.base.Elapsed() - v.base.Steady() }

// hold begins to hold back an answer, and returns when the clocks stop.
func (v *slowVM) hold() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.until = v.steady() + writeDelay
	return v.until
}

// release lets the clocks go on from where they are.
func (v *slowVM) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.steady()
	v.until, v.stopped = 0, v.base.Steady()-now
}

// slowListener holds back the writes of a node's answers once it is armed: each for writeDelay, or until the
// node's planned stop has ended.
type slowListener struct {
	net.Listener
	vm      *slowVM
	drained <-chan struct{}
	armed   atomic.Bool
	// early counts the writes that began before the node's planned stop had ended, and were still held
	// back when it had.
	early atomic.Int64
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, listener: l}, nil
}

type slowConn struct {
	net.Conn
	listener *slowListener
}

// Write implements net.Conn.
func (c *slowConn) Write(data []byte) (int, error) {
	if l := c.listener; l.armed.Load() {
		until := l.vm.hold()
		for waiting := true; waiting; waiting = waiting && l.vm.Steady() < until {
			select {
			case <-l.drained:
				l.early.Add(1)
				waiting = false
			case <-time.After(time.Millisecond):
			}
		}
		l.vm.release()
	}
	return c.Conn.Write(data)
}

// stopDuringRequest stops a node with a request in progress that outlasts it and whose answer is held
// back, and returns the answer and whether the planned stop ended before the answer was written. The
// function is called while the node stops.
func stopDuringRequest(t *testing.T, whileStopping func(*testNode, *slowVM)) (answer response, early bool) {
	t.Helper()
	s := newSite(t, 2)
	s.stopPlainService()
	s.graceSeconds = 1
	service := s.addSlowPlainService("desk2", 1500*time.Millisecond)
	vm := &slowVM{base: clocktest.NewVM()}
	n := s.newNode("n1", s.storeAddress, []node.Option{node.WithClock(clock.New(clock.WithVM(vm)))})
	slow := &slowListener{vm: vm, drained: n.Drained()}
	n.WrapCallerListener(func(l net.Listener) net.Listener {
		slow.Listener = l
		return slow
	})
	n.run(t)
	await(t, "answer", func() bool { return n.do(http.MethodPost, "/once/a", "warm", "k1").status == http.StatusOK })
	answers := make(chan response, 1)
	go func() { answers <- n.do(http.MethodPost, "/once/b", "late", "k1") }()
	await(t, "execution", func() bool { return service.Executions()["late"].Executions == 1 })
	slow.armed.Store(true)
	go n.Drain()
	whileStopping(n, vm)
	answer = <-answers
	<-n.Drained()
	return answer, slow.early.Load() > 0
}

// Guards against a node that ends while the answers to its last requests are still in its buffers: it
// closes their connections, and the clients get nothing.
func TestStoppingNodeWritesItsLastAnswers(t *testing.T) {
	t.Parallel()
	got, early := stopDuringRequest(t, func(*testNode, *slowVM) {})
	if early {
		t.Error("got a planned stop that ended before the last answer was written, want it to wait")
	}
	if got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got status %d and error %v, want %d", got.status, got.err, http.StatusBadGateway)
	}
}

// Guards against a node that runs late at its end, here after a suspension, and gives the requests that
// it ends no time for their answers.
func TestLateStoppingNodeWritesItsLastAnswers(t *testing.T) {
	t.Parallel()
	got, early := stopDuringRequest(t, func(n *testNode, vm *slowVM) {
		await(t, "stop", func() bool { return !n.ready() })
		vm.base.Suspend(time.Second)
	})
	if early {
		t.Error("got a planned stop that ended before the last answer was written, want it to wait")
	}
	if got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got status %d and error %v, want %d", got.status, got.err, http.StatusBadGateway)
	}
}
