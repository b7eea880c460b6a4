// Package boundedhttp bounds the bodies of HTTP responses.
package boundedhttp

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrTooLong means that the body of a response exceeds its bound.
var ErrTooLong = errors.New("boundedhttp: response body is too long")

// Transport returns responses whose bodies fail with ErrTooLong after a number of bytes. Libraries that
// discard the rest of a body that is too long for them would otherwise read it for as long as the other
// side sends.
type Transport struct {
	base     http.RoundTripper
	maxBytes int64
}

// NewTransport returns a transport that bounds the bodies of the responses of another one; nil stands for
// http.DefaultTransport.
func NewTransport(base http.RoundTripper, maxBytes int64) *Transport {
	if base == nil {
		base = http.DefaultTransport
	}
	return &Transport{base: base, maxBytes: maxBytes}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, left: t.maxBytes}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the other transport, as http.Client expects it of
// its transport.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// body is a body of which left bytes may still be read.
type body struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrTooLong
	}
	// One byte more tells a body of exactly the bound from a longer one.
	n, err := b.ReadCloser.Read(data[:min(int64(len(data)), b.left+1)])
	b.left -= int64(n)
	if b.left < 0 {
		return n - 1, ErrTooLong
	}
	return n, err
}
