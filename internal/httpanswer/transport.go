// Package httpanswer keeps net/http from taking bytes for an answer of HTTP/1 that are none, or that may be
// only a part of one.
package httpanswer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrProtocolSwitched means that an answer switches to another protocol. net/http leaves the connection of such an
// answer to its caller, and no longer closes it when the context ends.
var ErrProtocolSwitched = errors.New("httpanswer: answer switches to another protocol")

// maxHeadBytes bounds the head of an answer, together with the interim answers before it. By default, net/http
// reads 10 MiB of each.
const maxHeadBytes = 32 << 10

// Transport returns only answers that are whole and well-formed. It is for HTTP/1 without TLS.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that checks the answers of another one, whose connections it wraps and whose
// limit of heads it sets. The other transport must not be used by itself.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = maxHeadBytes
	base.DialContext = wrapConns(base.DialContext)
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. It fails with ErrBrokenHead if the head of the answer is not
// well-formed, and with ErrProtocolSwitched if it is one of another protocol. The body of an answer that ends
// with its connection, because it has neither a length nor chunks, fails with ErrReset or ErrRequestUnread if it
// may not be whole.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	length := bodyLength(req)
	var current atomic.Pointer[conn]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.beginRequest(length, info.Reused)
				current.Store(c)
			}
		},
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, markBrokenHead(err, current.Load())
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.CombineErrors(ErrProtocolSwitched, resp.Body.Close())
	}
	return resp, nil
}

// markBrokenHead marks the error of a request with ErrBrokenHead if its connection has read a broken head, of which
// net/http may have refused a line itself. The connection is nil if there was none.
func markBrokenHead(err error, c *conn) error {
	if c != nil && c.brokenHead() != nil {
		return errors.Mark(err, ErrBrokenHead)
	}
	return err
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// wrapConns returns a function that opens connections as dial does, or as net/http does by default if dial is
// nil.
func wrapConns(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
