package httpanswer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of an answer whose connection has ended.
var (
	// ErrReset means that the connection was reset.
	ErrReset = errors.New("httpanswer: connection was reset")
	// ErrRequestUnread means that the other side ended the connection before it had received the request, as
	// far as this side can tell: not if the request has chunks.
	ErrRequestUnread = errors.New("httpanswer: connection ended before the request was received")
)

// requestPollInterval is the time between two looks at a request that is being written.
const requestPollInterval = time.Millisecond

// conn is a connection whose end counts as the end of an answer only if the answer is whole.
//
// The kernel reports a reset once, to a read or to a write. If a write of the request gets it, the next read
// returns a regular end of the connection. A regular end also comes before the reset if the other side first
// shuts down its sending direction. So the end of a connection proves nothing while the other side has not
// received the request. Nor can it be the end of an answer to the whole request, since the end of a connection
// acknowledges all that its sender has received.
type conn struct {
	net.Conn

	mu sync.Mutex
	// request follows the current request, and writing reports that a write is in progress.
	request requestMeter
	writing bool
	// writeErr is the error of the first write that failed.
	writeErr error
	// answering reports that part of the answer has been read.
	answering bool
	// head checks the head of the answer, and headErr is set if that is broken.
	head    head
	headErr error
	closed  bool
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// beginRequest is called before a request is written, with the length of its body. A connection is reused if it
// has served a request before.
func (c *conn) beginRequest(length int64, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.answering = newRequestMeter(length), false
	if reused {
		c.head = head{}
	}
}

// Read implements net.Conn. A broken head is read up to the line that is broken, so that net/http doesn't take it
// for a connection that failed before the answer, and sends the request again.
func (c *conn) Read(data []byte) (int, error) {
	if err := c.brokenHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(data)
	n, answering := c.recordRead(data[:n])
	if !answering || !errors.Is(err, io.EOF) {
		return n, err
	}
	if requestErr := c.awaitRequest(); requestErr != nil {
		err = requestErr
	}
	return n, err
}

func (c *conn) brokenHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// recordRead records that bytes were read. It returns how many of them may be passed on, and whether part of an
// answer has been read.
func (c *conn) recordRead(data []byte) (n int, answering bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = c.answering || len(data) > 0
	n, c.headErr = c.head.check(data)
	return n, c.answering
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(data)
	c.endWrite(data[:n], err)
	return n, err
}

func (c *conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
}

func (c *conn) endWrite(written []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.request.count(written)
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// awaitRequest waits, after the connection has ended, until the other side has received the request. It
// returns an error if it never will have, or the connection was reset.
func (c *conn) awaitRequest() error {
	for {
		received, err := c.requestReceived()
		if received || err != nil {
			return err
		}
		// All that was written has been received, so what is missing is on its way to the connection.
		time.Sleep(requestPollInterval)
	}
}

// requestReceived reports whether the other side has received the whole request, after the connection has
// ended. An error means that it never will have.
func (c *conn) requestReceived() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch socket := stateOf(c.Conn); {
	case c.writeErr != nil:
		return false, errors.Mark(errors.Wrap(c.writeErr, "httpanswer: write request"), ErrReset)
	case c.closed:
		return false, net.ErrClosed
	case socket.reset:
		return false, ErrReset
	case socket.unacknowledged, !c.request.hasLength():
		return false, ErrRequestUnread
	}
	return c.request.whole() && !c.writing, nil
}
