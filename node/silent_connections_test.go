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

// mutableProxy forwards connections to an address. Muting it makes the open connections silent
// without a reset, while new connections work.
type mutableProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// muted is closed when the connections that share it are muted.
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

// copyUntil copies data until either side closes; after the connection is muted it discards the
// data.
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

// mute makes the open connections silent.
func (m *mutableProxy) mute() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.muted)
	m.muted = make(chan struct{})
}

// Guards against a node that keeps waiting on silent connections to the store while new
// connections work: a change must become active anyway.
func TestSilentConnectionsToTheStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	proxy := newMutableProxy(t, s.storeAddress)
	n := s.startNode("n1", proxy.listener.Addr().String())
	await(t, "answer", func() bool { return n.do(http.MethodPost, "/once/a", "warm", "k1").status == http.StatusOK })
	proxy.mute()
	s.store.Put("op", "config", standin.SiteConfig(2, "k1"))
	await(t, "refusal of a revoked key", func() bool {
		return n.do(http.MethodPost, "/once/a", "revoked", "k2").status == http.StatusUnauthorized
	})
	await(t, "answer with the key that was kept", func() bool {
		return n.do(http.MethodPost, "/once/a", "kept", "k1").status == http.StatusOK
	})
}
