package node_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/hoistjunction/hoistjunction/standin"
)

// mutableProxy passes connections on to an address until they are muted: then those that are
// open say nothing any more, without a reset, while new ones work.
type mutableProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// muted is closed when the connections of the present generation are muted.
	muted chan struct{}
}

func newMutableProxy(t *testing.T, to string) *mutableProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &mutableProxy{listener: listener, target: to, muted: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go m.accept()
	return m
}

func (m *mutableProxy) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		muted := m.muted
		m.mu.Unlock()
		go m.forward(conn, muted)
	}
}

func (m *mutableProxy) forward(near net.Conn, muted <-chan struct{}) {
	far, err := net.Dial("tcp", m.target)
	if err != nil {
		_ = near.Close()
		return
	}
	go copyUntil(far, near, muted)
	copyUntil(near, far, muted)
}

// copyUntil copies until either side ends; once muted it swallows what comes.
func copyUntil(to, from net.Conn, muted <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-muted:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			return
		}
	}
}

// mute mutes the connections that are open now.
func (m *mutableProxy) mute() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.muted)
	m.muted = make(chan struct{})
}

// The connections to the store go silent for good, and new ones work: a node notices
// that by itself, and what changes from then on is in force.
func TestSilentConnectionsToTheStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	front := newMutableProxy(t, s.storeAddress)
	n := s.startNode("n1", front.listener.Addr().String())
	await(t, "answer", func() bool { return n.do(http.MethodPost, "/once/a", "warm", "k1").status == http.StatusOK })
	front.mute()
	s.store.Put("op", "config", standin.SiteConfig(2, "k1"))
	await(t, "refusal of a revoked key", func() bool {
		return n.do(http.MethodPost, "/once/a", "revoked", "k2").status == http.StatusUnauthorized
	})
	await(t, "answer with the key that was kept", func() bool {
		return n.do(http.MethodPost, "/once/a", "kept", "k1").status == http.StatusOK
	})
}
