package httpanswer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a TCP connection that has been reset, and of one that both sides have closed.
const tcpClose = 7

// socketState is what the kernel tells of a connection that this side has not closed. It is zero where the
// kernel tells nothing.
type socketState struct {
	// reset reports that the connection was reset.
	reset bool
	// unacknowledged reports that the other side has not acknowledged all that was written.
	unacknowledged bool
}

// stateOf returns the state of a TCP connection, or of one that wraps it.
func stateOf(c net.Conn) (state socketState) {
	raw, err := rawConn(c)
	if raw == nil || err != nil {
		return socketState{}
	}
	// An error means that the connection is closed, which the caller knows itself.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		state = socketState{reset: info.State == tcpClose, unacknowledged: info.Unacked > 0 || info.Notsent_bytes > 0}
	})
	return state
}

// rawConn returns the raw connection of a connection, or of the one that it wraps; nil if there is none.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	for {
		switch inner := c.(type) {
		case syscall.Conn:
			return inner.SyscallConn()
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil, nil
		}
	}
}
