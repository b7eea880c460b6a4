package node_test

import (
	"bufio"
	"fmt"
	"io"
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
	answers := n.startLateRequest(t, service)
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

// Guards against a node that ends while the client of an HTTP/1.0 stream does not read: the node closes the
// connection in the regular way, and the client takes the part that it has for the whole stream.
func TestStoppingNodeCutsHTTP10Stream(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	s.graceSeconds = 1
	n := s.newNode("n1", s.storeAddress, nil)
	var blocked atomic.Bool
	n.WrapCallerListener(func(l net.Listener) net.Listener { return &blockingListener{Listener: l, blocked: &blocked} })
	n.run(t)
	n.awaitServing(t)
	for _, e := range s.engines {
		e.engine.SetSlowdown(20)
	}
	conn := n.dial(t)
	req := n.request(http.MethodPost, longPath, "old", "k1")
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nAttempt-Id: old\r\nDeadline-Remaining-Ms: 20000\r\nToken-Count: 40,40\r\nAuthorization: Bearer k1\r\nContent-Length: 1\r\n\r\nx",
		req.URL.RequestURI(), req.Host); err != nil {
		t.Fatal(err)
	}
	answer := bufio.NewReader(conn)
	if _, err := answer.Peek(1); err != nil {
		t.Fatal(err)
	}
	blocked.Store(true)
	go n.Drain()
	if got, err := io.ReadAll(answer); err == nil {
		t.Errorf("got the regular end of a stream that was cut after %d bytes, want a reset", len(got))
	}
}

// blockingListener accepts connections whose writes block, while blocked is set, until they are closed.
type blockingListener struct {
	net.Listener
	blocked *atomic.Bool
}

// Accept implements net.Listener.
func (l *blockingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &blockingConn{TCPConn: conn.(*net.TCPConn), blocked: l.blocked, closed: make(chan struct{})}, nil
}

type blockingConn struct {
	*net.TCPConn
	blocked *atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// Write implements net.Conn.
func (c *blockingConn) Write(data []byte) (int, error) {
	if c.blocked.Load() {
		<-c.closed
	}
	return c.TCPConn.Write(data)
}

// Close implements net.Conn.
func (c *blockingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}
