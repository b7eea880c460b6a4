package httpanswer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/brokenanswer"
)

// scriptedConn answers when a request begins and ends, and lets writes of the request return later.
type scriptedConn struct {
	net.Conn
	unread *strings.Reader
	// begun is closed when the first write begins, and closed by Close.
	begun, closed        chan struct{}
	beginOnce, closeOnce sync.Once
	// writeTime is the time that each write takes, and writeErr its error.
	writeTime time.Duration
	writeErr  error
}

// Read implements net.Conn.
func (c *scriptedConn) Read(data []byte) (int, error) {
	select {
	case <-c.begun:
		return c.unread.Read(data)
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Write implements net.Conn.
func (c *scriptedConn) Write(data []byte) (int, error) {
	c.beginOnce.Do(func() { close(c.begun) })
	select {
	case <-time.After(c.writeTime):
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(data), nil
}

// Close implements net.Conn.
func (c *scriptedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// Guards against an answer that is taken for whole while its request is being written, and against one that
// is not although its request has been written. Where the kernel tells nothing, writes alone decide.
func TestAnswerThatEndsDuringWrite(t *testing.T) {
	for _, tt := range []struct {
		name      string
		writeTime time.Duration
		writeErr  error
		want      error
	}{
		{"write succeeds later", time.Second, nil, nil},
		{"write fails later", time.Second, syscall.ECONNRESET, ErrReset},
		{"write fails as the other side has closed", time.Second, syscall.EPIPE, ErrReset},
		{"write never returns", time.Hour, nil, context.DeadlineExceeded},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					return &scriptedConn{unread: strings.NewReader("HTTP/1.1 200 OK\r\n\r\nbody"), writeTime: tt.writeTime, writeErr: tt.writeErr, begun: make(chan struct{}), closed: make(chan struct{})}, nil
				}})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				got, err := call(ctx, transport, http.MethodPost, "http://upstream/", strings.NewReader("request"))
				if !errors.Is(err, tt.want) {
					t.Errorf("got error %v, want %v", err, tt.want)
				}
				if tt.want == nil && got != "body" {
					t.Errorf("got %q, want the body", got)
				}
			})
		})
	}
}

// Guards against an answer that is taken for whole although nothing tells whether its request, which has
// chunks, has been received.
func TestAnswerThatEndsAfterChunks(t *testing.T) {
	server := httptest.NewServer(brokenanswer.Answer("HTTP/1.1 200 OK\r\n\r\nbody"))
	defer server.Close()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	got, err := call(t.Context(), transport, http.MethodPost, server.URL, io.MultiReader(strings.NewReader("request")))
	if !errors.Is(err, ErrRequestUnread) {
		t.Errorf("got %q and error %v, want %v", got, err, ErrRequestUnread)
	}
}

// call sends a request and returns the body of its answer.
func call(ctx context.Context, transport http.RoundTripper, method, url string, request io.Reader) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, request)
	if err != nil {
		return "", err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
