// Package brokenanswer gives answers for tests that no caller may take for whole ones.
package brokenanswer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// resetDelay is the time between the last byte of an answer, or the end that follows it, and the reset of its
// connection, in which the caller reads what has been sent.
const resetDelay = 5 * time.Millisecond

// Answer is the text of an answer, head and body, that is written as it is. Afterwards the connection is
// closed.
type Answer string

// ServeHTTP implements http.Handler. It reads the whole request first.
func (a Answer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn := a.write(w)
	_ = conn.Close()
}

// Reset is an answer that is written before the request has been read. Afterwards the connection is reset,
// while the caller is still writing a request that exceeds the buffers of the connection.
type Reset Answer

// ServeHTTP implements http.Handler.
func (a Reset) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn := Answer(a).write(w)
	time.Sleep(resetDelay)
	reset(conn)
}

// ShutDown is an answer that is written before the request has been read. Afterwards the sending direction of
// the connection is shut down, and later the connection is reset.
type ShutDown Answer

// ServeHTTP implements http.Handler.
func (a ShutDown) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn := Answer(a).write(w)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	time.Sleep(resetDelay)
	reset(conn)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (a Answer) write(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	// The caller may have closed the connection already.
	_, _ = io.WriteString(conn, string(a))
	return conn
}

// callerBuffer is the size of a caller's send buffer, in bytes.
const callerBuffer = 16 << 10

// Dial connects a caller whose send buffer is small, so that it goes on writing a long request while the answer
// arrives.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		err = tcp.SetWriteBuffer(callerBuffer)
	}
	return conn, err
}
