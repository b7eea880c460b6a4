package overload

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/ring"
)

const (
	// refusalRetryAfter is the Retry-After time of a refusal in ms: another node can serve the client at once.
	refusalRetryAfter clock.Millis = 50
	// refusalHold is how long a refused connection stays open, so that its client reads the refusal:
	// closing a connection with unread bytes resets it.
	refusalHold clock.Millis = 250
	// maxRefused bounds the refused connections that are open. Further ones are closed at once.
	maxRefused = 128
	// refusalWriteTimeout bounds the write of a refusal, which a new connection takes at once.
	refusalWriteTimeout = 10 * time.Millisecond
)

const refusalBody = `{"error":"node_is_busy"}` + "\n"

// refusal is the whole answer to a request that is not read.
var refusal = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %g\r\nConnection: close\r\n\r\n%s",
	len(refusalBody), float64(refusalRetryAfter)/1000, refusalBody)

// Listener refuses the connections that a node does not take. None of their bytes is read.
type Listener struct {
	net.Listener
	monitor *Monitor
	// refused holds the refused connections in the order in which they are closed.
	refused *ring.Ring[refusedConn]
}

// refusedConn is a connection that is closed at a time.
type refusedConn struct {
	net.Conn
	closeAt clock.Millis
}

// NewListener returns a listener that takes the connections which a monitor admits. Run closes the others.
func NewListener(l net.Listener, m *Monitor) *Listener {
	return &Listener{Listener: l, monitor: m, refused: ring.New[refusedConn](maxRefused)}
}

// Accept returns the next connection that the node takes.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.monitor.Admit() {
			return conn, err
		}
		l.refuse(conn)
	}
}

// Run closes refused connections until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case conn := <-l.refused.Items():
			l.monitor.clock.WaitUntil(ctx, conn.closeAt)
			l.close(conn)
		}
	}
}

// refuse tells a client that its request was not executed. Its next try meets another node.
func (l *Listener) refuse(conn net.Conn) {
	err := conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if err == nil {
		_, err = conn.Write(refusal)
	}
	held := refusedConn{Conn: conn, closeAt: l.monitor.clock.Now().Add(refusalHold)}
	if err == nil && l.refused.Offer(held) {
		l.monitor.recordRefused()
		return
	}
	l.monitor.recordLeft()
	l.close(conn)
}

func (l *Listener) close(conn net.Conn) {
	if err := conn.Close(); err != nil {
		l.monitor.log.Info("connection_not_closed", zap.String("from", conn.RemoteAddr().String()), logging.Err(err))
	}
}
